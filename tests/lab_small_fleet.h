// A small experiment and its deployment, for tests of the emulator.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// One class of idempotent requests, machines of two cores, two zones in one region.
inline Experiment SmallExperiment() {
  Experiment experiment;
  experiment.name = "small";
  experiment.warm_up = std::chrono::seconds(1);
  experiment.length = std::chrono::seconds(9);
  ClassSpec spec;
  spec.name = "get";
  spec.mean_work = std::chrono::milliseconds(20);
  spec.latency_objective = std::chrono::milliseconds(200);
  spec.deadline = std::chrono::milliseconds(1000);
  experiment.classes = {spec};
  KindSpec kind;
  kind.name = "m1";
  experiment.upstreams.kinds = {kind};
  experiment.upstreams.handshake_work = std::chrono::milliseconds(1);
  experiment.upstreams.probe_work = std::chrono::microseconds(100);
  experiment.zones = 2;
  return experiment;
}

// A deployment with upstreams and sidecars spread evenly over services, regions and two zones. `rate` is the
// requests per second of each sidecar. The deployment refers to `experiment`, which must outlive it.
inline Deployment MakeSmallDeployment(const Experiment& experiment, std::size_t upstreams,
                                      std::size_t sidecars, double rate) {
  Deployment deployment;
  deployment.zones = {"r1-z1", "r1-z2"};
  for (std::size_t i = 0; i < upstreams; ++i) {
    UpstreamInstance upstream;
    upstream.index = i;
    upstream.id = "u-" + std::to_string(i);
    upstream.service = i % experiment.services;
    upstream.region = i % experiment.regions;
    upstream.zone = deployment.zones[i % 2];
    upstream.kind = &experiment.upstreams.kinds[0];
    deployment.upstreams.push_back(upstream);
  }
  for (std::size_t i = 0; i < sidecars; ++i) {
    SidecarInstance sidecar;
    sidecar.index = i;
    sidecar.name = "s-" + std::to_string(i);
    sidecar.service = i % experiment.services;
    sidecar.region = i % experiment.regions;
    sidecar.zone = deployment.zones[i % 2];
    sidecar.requests_per_s = rate;
    sidecar.seed = DeriveSeed(experiment.seed, "sidecar", i);
    deployment.sidecars.push_back(sidecar);
  }
  return deployment;
}

}  // namespace lb::lab
