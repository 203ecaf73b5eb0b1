// Tells a malformed HTTP message from a connection that ended.
#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace lb::lab {

// `error`: of reading a message. False for a connection that ended, at whatever point, or failed.
inline bool IsMalformedMessage(boost::system::error_code error) {
  using Error = boost::beast::http::error;
  const bool is_of_parser = error.category() == make_error_code(Error::end_of_stream).category();
  return is_of_parser && error != Error::end_of_stream && error != Error::partial_message;
}

}  // namespace lb::lab
