# Functions that define the targets of this repository with common compile options.

# Enables the project's warnings, and makes include paths relative to the repository's root.
function(lb_target target)
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR})
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion)
endfunction()

# Adds a static library with the common options: lb_library(NAME SOURCE...).
function(lb_library target)
  add_library(${target} STATIC ${ARGN})
  lb_target(${target})
endfunction()

# Adds an executable with the common options: lb_executable(NAME SOURCE...).
function(lb_executable target)
  add_executable(${target} ${ARGN})
  lb_target(${target})
endfunction()

# Adds an executable that is for users, not only for tests. Its binary is placed in the root of the build folder:
# lb_program(NAME SOURCE...).
function(lb_program target)
  lb_executable(${target} ${ARGN})
  set_target_properties(${target} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR})
endfunction()
