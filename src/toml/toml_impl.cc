// Compiles toml++ in a single translation unit, as that takes over 10 seconds.
#define TOML_IMPLEMENTATION
// With NDEBUG, toml++ turns its assertions into assumptions for the optimiser
// of Clang, and malformed documents violate some of them. Without NDEBUG, it
// uses TOML_ASSERT, which src/toml/CMakeLists.txt defines as empty.
#undef NDEBUG
#include "toml/toml.h"
