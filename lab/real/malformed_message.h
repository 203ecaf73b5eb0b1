// Distinguishes a malformed HTTP message from a connection that ended.
#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

namespace lb::lab {

// `error`: the result of reading a message. Returns false if the connection ended, even within a message, or
// failed.
inline bool IsMalformedMessage(boost::system::error_code error) {
  using Error = boost::beast::http::error;
  const bool is_parser_error = error.category() == make_error_code(Error::end_of_stream).category();
  return is_parser_error && error != Error::end_of_stream && error != Error::partial_message;
}

}  // namespace lb::lab
