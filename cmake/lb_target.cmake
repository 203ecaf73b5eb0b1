# What all targets of this repository have in common.

# Warnings, and includes written from the repository's root.
function(lb_target target)
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR})
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion)
endfunction()

# A library of this repository: lb_library(NAME SOURCE...).
function(lb_library target)
  add_library(${target} STATIC ${ARGN})
  lb_target(${target})
endfunction()

# An executable of this repository: lb_executable(NAME SOURCE...).
function(lb_executable target)
  add_executable(${target} ${ARGN})
  lb_target(${target})
endfunction()

# One of the programs that this repository is for, at the root of the build folder: lb_program(NAME SOURCE...).
function(lb_program target)
  lb_executable(${target} ${ARGN})
  set_target_properties(${target} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR})
endfunction()
