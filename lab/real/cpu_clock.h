// What the lab itself uses of the machine, and what the machine has.
#pragma once

#include <cstddef>

namespace lb::lab {

double ThreadCpuSeconds();     // of the calling thread
double ProcessCpuSeconds();    // of this process, all threads
double ResidentMemoryMb();     // of this process
double MachineMemoryMb();      // in all
std::size_t ChildProcesses();  // of this process, ended ones that were not waited for included

}  // namespace lb::lab
