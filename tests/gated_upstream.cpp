#include "tests/gated_upstream.h"

#include <utility>

namespace lb::sidecar::testing {

GatedUpstream::GatedUpstream(Upstream::Handler respond, Selector is_held)
    : upstream_([this, respond = std::move(respond), is_held = std::move(is_held)](
                    Wire& wire, const Request& request, int number) {
        if (is_held(request, number)) {
          arrived_.Open();
          released_.Pass();
        }
        respond(wire, request, number);
      }) {}

GatedUpstream::~GatedUpstream() {
  if (!is_released_) Release();
}

void GatedUpstream::Release() {
  is_released_ = true;
  released_.Open();
}

bool GatedUpstream::IsFirst(const Request&, int number) { return number == 0; }

void GatedUpstream::RespondWithTarget(Wire& wire, const Request& request, int) {
  wire.Answer(200, std::string(request.target()));
}

}  // namespace lb::sidecar::testing
