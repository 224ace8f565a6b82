#include "src/caller_request_http.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace burdockhatch {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t kReadBufferBytes = 64 * 1024;
// Of the request line, which the limit on headers does not include.
constexpr uint32_t kMaxRequestLineBytes = 1024;

}  // namespace

void CallerRequestReader::Begin(const CallerLimits& limits) {
  parser_.emplace();
  limits_ = limits;
  ApplyLimits();
  is_header_reported_ = false;
}

void CallerRequestReader::RaiseLimits(const CallerLimits& limits) {
  if (parser_ && !parser_->is_header_done()) {
    limits_.max_header = std::max(limits_.max_header, limits.max_header);
    limits_.max_body = std::max(limits_.max_body, limits.max_body);
    ApplyLimits();
  }
}

void CallerRequestReader::ApplyLimits() {
  parser_->header_limit(static_cast<uint32_t>(limits_.max_header.value()) +
                        kMaxRequestLineBytes);
  parser_->body_limit(static_cast<uint64_t>(limits_.max_body.value()));
  max_unparsed_bytes_ = static_cast<size_t>(limits_.max_header.value()) +
                        kMaxRequestLineBytes + kReadBufferBytes;
}

size_t CallerRequestReader::Receive(boost::asio::ip::tcp::socket& socket,
                                    error_code& ec) {
  const size_t n = socket.receive(buffer_.prepare(kReadBufferBytes), 0, ec);
  buffer_.commit(n);
  return n;
}

CallerRequestReader::State CallerRequestReader::Parse() {
  while (!parser_->is_done()) {
    if (parser_->is_header_done() && !is_header_reported_) {
      break;
    }
    if (buffer_.size() == 0) {
      return State::kNeedsInput;
    }
    error_code ec;
    const size_t n = parser_->put(buffer_.data(), ec);
    buffer_.consume(n);
    if (ec == http::error::need_more) {
      // The parser does not limit the header of a chunk.
      if (buffer_.size() < max_unparsed_bytes_) {
        return State::kNeedsInput;
      }
      ec = http::error::header_limit;
    }
    if (ec) {
      error_ = ec;
      return State::kMalformed;
    }
  }
  if (!is_header_reported_) {
    is_header_reported_ = true;
    return State::kHeaderRead;
  }
  return State::kComplete;
}

uint32_t CallerRequestReader::error_status() const {
  if (error_ == http::error::header_limit) {
    return 431;
  }
  return error_ == http::error::body_limit ? 413 : 400;
}

bool CallerRequestReader::expects_continue() const {
  return beast::iequals(parser_->get()[http::field::expect], "100-continue");
}

ReceivedRequest CallerRequestReader::Take() {
  // The parser keeps the message until nothing can throw, so that a request
  // that cannot be taken can be refused.
  http::request<http::string_body>& message = parser_->get();
  ReceivedRequest request;
  request.method = std::string(message.method_string());
  request.path = std::string(message.target());
  request.host = std::string(message[http::field::host]);
  for (const auto& it : message) {
    request.headers.push_back(
        {std::string(it.name_string()), std::string(it.value())});
  }
  request.body = std::make_shared<const std::string>(std::move(message.body()));
  parser_.reset();
  return request;
}

bool CallerRequestReader::has_input() const {
  return buffer_.size() > 0 || (parser_ && parser_->got_some());
}

}  // namespace burdockhatch
