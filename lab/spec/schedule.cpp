#include "lab/spec/schedule.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <ostream>

#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

// Sets a stream to fixed notation with the given digits after the point; the destructor restores its format.
class FixedDigits {
 public:
  FixedDigits(std::ostream& out, int digits)
      : out_(out), flags_(out.flags()), precision_(out.precision(digits)) {
    out_.setf(std::ios::fixed, std::ios::floatfield);
  }
  ~FixedDigits() {
    out_.flags(flags_);
    out_.precision(precision_);
  }
  FixedDigits(const FixedDigits&) = delete;
  FixedDigits& operator=(const FixedDigits&) = delete;

 private:
  std::ostream& out_;
  std::ios::fmtflags flags_;
  std::streamsize precision_;
};

std::size_t RealSidecars(const Deployment& deployment) {
  return static_cast<std::size_t>(std::count_if(deployment.sidecars.begin(), deployment.sidecars.end(),
                                                [](const SidecarInstance& s) { return s.real; }));
}

void PrintTotals(std::ostream& out, const Experiment& experiment, const Deployment& deployment) {
  out << experiment.name << ": seed " << experiment.seed << ", " << deployment.upstreams.size()
      << " upstreams, " << deployment.sidecars.size() << " sidecars (" << RealSidecars(deployment)
      << " real), " << experiment.services << " services, " << deployment.zones.size() << " zones, "
      << deployment.requests_per_s << " requests/s\n";
}

// Prints a fault's kind, times and parameters without a line break.
void PrintFault(std::ostream& out, const FaultEvent& event) {
  out << "fault " << FaultName(event.kind) << " from " << ToSeconds(event.at) << " s to "
      << ToSeconds(event.until) << " s";
  if (!event.zone.empty()) out << " zone " << event.zone;
  if (event.share > 0) out << " share " << event.share;
  if (event.factor != 1) out << " factor " << event.factor;
  if (event.step != Duration::zero()) out << " step " << ToSeconds(event.step) << " s";
  if (event.delay != Duration::zero()) out << " delay " << ToSeconds(event.delay) << " s";
  if (event.kind == FaultKind::kChange) out << " count " << event.count;
}

void PrintTargets(std::ostream& out, const Deployment& deployment, const FaultEvent& event) {
  for (const std::size_t index : event.upstreams) out << " " << deployment.upstreams[index].id;
  for (const std::size_t index : event.sidecars) out << " " << deployment.sidecars[index].name;
}

}  // namespace

void PrintSummary(std::ostream& out, const Experiment& experiment, const Deployment& deployment) {
  const FixedDigits digits(out, 3);
  PrintTotals(out, experiment, deployment);
  for (const FaultEvent& event : deployment.faults) {
    out << "  ";
    PrintFault(out, event);
    if (!event.upstreams.empty()) out << ", upstreams struck: " << event.upstreams.size();
    if (!event.sidecars.empty()) out << ", sidecars struck: " << event.sidecars.size();
    out << "\n";
  }
}

void PrintSchedule(std::ostream& out, const Experiment& experiment, const Deployment& deployment) {
  const FixedDigits digits(out, 6);
  PrintTotals(out, experiment, deployment);
  for (const UpstreamInstance& upstream : deployment.upstreams) {
    out << "upstream " << upstream.id << " service " << upstream.service << " zone " << upstream.zone
        << " kind " << upstream.kind->name << " speed " << upstream.speed << " weight " << upstream.weight
        << "\n";
  }
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    out << "sidecar " << sidecar.name << " service " << sidecar.service << " zone " << sidecar.zone
        << " requests/s " << sidecar.requests_per_s << " seed " << sidecar.seed
        << (sidecar.real ? " real" : "") << "\n";
  }
  for (const FaultEvent& event : deployment.faults) {
    PrintFault(out, event);
    if (!event.upstreams.empty() || !event.sidecars.empty()) out << " strikes";
    PrintTargets(out, deployment, event);
    out << "\n";
  }
}

}  // namespace lb::lab
