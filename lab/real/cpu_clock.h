// Resource use of the emulator's process, and the memory of the machine.
#pragma once

#include <cstddef>

namespace lb::lab {

double ThreadCpuSeconds();     // processor time of the calling thread
double ProcessCpuSeconds();    // processor time of all threads of this process
double ResidentMemoryMb();     // resident memory of this process
double MachineMemoryMb();      // physical memory of the machine
std::size_t ChildProcesses();  // number of child processes, including ended ones not yet waited for

}  // namespace lb::lab
