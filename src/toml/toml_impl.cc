// The one compilation of toml++, which takes over ten seconds.
#define TOML_IMPLEMENTATION
#include <toml++/toml.h>
