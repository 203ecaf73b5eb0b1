#include "lab/model/network_model.h"

namespace lb::lab {

NetworkModel::NetworkModel(const NetworkSpec& spec, std::uint64_t seed)
    : spec_(spec), random_(seed), deviation_(-spec.jitter, spec.jitter) {}

Duration NetworkModel::Delay(const Location& from, const Location& to) {
  const Duration usual = from.region != to.region ? spec_.cross_region
                         : from.zone != to.zone   ? spec_.cross_zone
                                                  : spec_.same_zone;
  const double factor = 1 + (spec_.jitter > 0 ? deviation_(random_) : 0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(usual.count()) * factor));
}

bool NetworkModel::Reaches(const Location& from, const Location& to) const {
  return !regions_cut_ || from.region == to.region;
}

}  // namespace lb::lab
