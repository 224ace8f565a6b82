// Client of a model engine over HTTP and JSON.
#ifndef SRC_ENGINE_HTTP_H_
#define SRC_ENGINE_HTTP_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/engine.h"

namespace burdockhatch {

// Connections run on `traffic`; callbacks run on `control`, except `on_chunk`,
// which runs on a thread of `traffic`. All calls come from the thread that runs
// `control`. `address` is "ip:port".
//
// `on_end` runs once after an `on_start` with kStarted, and never after any
// other `on_start`. Attach replaces an earlier reader of the same stream; the
// `on_end` of that reader is then never called.
//
// Both contexts must outlive the engine, and `traffic` must outlive `control`,
// because pending handlers of `control` own connections.
std::unique_ptr<Engine> MakeHttpEngine(boost::asio::io_context& control,
                                       boost::asio::io_context& traffic,
                                       std::string address);

}  // namespace burdockhatch

#endif  // SRC_ENGINE_HTTP_H_
