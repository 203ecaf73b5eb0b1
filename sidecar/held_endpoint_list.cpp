#include "sidecar/held_endpoint_list.h"

namespace lb::sidecar {

void HeldEndpointList::Apply(const EndpointList& list) {
  revision_ = list.revision;
  if (list.update.kind != MembershipUpdate::Kind::kChanges) upstreams_.clear();
  for (const UpstreamInfo& info : list.update.upstreams) {
    if (info.state == UpstreamState::kGone) {
      upstreams_.erase(info.id.value);
      continue;
    }
    upstreams_[info.id.value] = {info, list.locations.at(info.id.value)};
  }
}

}  // namespace lb::sidecar
