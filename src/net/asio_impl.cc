// Compiles Asio, which is used as a separately compiled library.
#include <boost/asio/impl/src.hpp>
