// The one place where Asio's own sources are compiled.
#include <boost/asio/impl/src.hpp>
