#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

namespace carobpath {

/// The value of an operation, or a typed error kept by LEAF. Every error type is a struct of its slice.
template <typename T>
using Result = boost::leaf::result<T>;

}
