#ifndef EGRETRACK_BASE_RESULT_H_
#define EGRETRACK_BASE_RESULT_H_

#include <boost/system/result.hpp>

#include "egretrack/base/error.h"

namespace egretrack {

// A value or a typed error.
template <typename T>
using result = boost::system::result<T, error>;

// Called by result::value() on an error; throws std::system_error.
[[noreturn]] void throw_exception_from_error(
    const error& failure,
    const boost::source_location& location);

}  // namespace egretrack

#endif  // EGRETRACK_BASE_RESULT_H_
