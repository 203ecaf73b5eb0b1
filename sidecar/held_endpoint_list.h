// The endpoint list as this sidecar last had it, kept for the process that replaces this one.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "balancer/balancer.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

class HeldEndpointList {
 public:
  struct Upstream {
    UpstreamInfo info;
    Location location;
  };

  // Takes over the changes, or the list if it is a whole one.
  void Apply(const EndpointList& list);

  // No list with an upstream was applied.
  bool empty() const { return upstreams_.empty(); }
  std::uint64_t revision() const { return revision_; }
  const std::map<std::string, Upstream>& upstreams() const { return upstreams_; }  // by id

 private:
  std::uint64_t revision_ = 0;
  std::map<std::string, Upstream> upstreams_;
};

}  // namespace lb::sidecar
