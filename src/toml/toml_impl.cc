// The one compilation of toml++, which takes over ten seconds.
#define TOML_IMPLEMENTATION
// With NDEBUG, toml++ turns assertions that a malformed document violates into
// assumptions for the optimiser of Clang. Without it they follow TOML_ASSERT,
// which src/toml/CMakeLists.txt makes empty.
#undef NDEBUG
#include "toml/toml.h"
