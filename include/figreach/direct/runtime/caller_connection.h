#pragma once

#include <deque>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "figreach/direct/request_pipeline.h"
#include "figreach/direct/route_configuration.h"
#include "figreach/direct/runtime/counted_body.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/request_runner.h"
#include "figreach/direct/runtime/store_feed.h"

namespace figreach::direct {

/// A client connection. Reads requests ahead of their answers within bounds, lets
/// `request_pipeline` decide which of them run, and writes the answers in the order of the
/// requests.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// `state` and `feed` must outlive the connection.
    caller_connection(boost::asio::ip::tcp::socket socket, host_context& state, store_feed& feed);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    boost::asio::awaitable<void> run();
    /// Closes the connection unless a request is being received or served.
    void close_if_idle();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct exchange_state;
    struct cancel_scope;

    boost::asio::awaitable<bool> read_one();
    boost::asio::awaitable<bool> wait_for_bytes();
    boost::asio::awaitable<bool> read_body(request_parser& parser, counted_body& counted,
                                           monotonic_time until);
    boost::asio::awaitable<void> serve(std::shared_ptr<exchange_state> one,
                                       request_pipeline::number number);
    boost::asio::awaitable<void> write_answers();
    boost::asio::awaitable<bool> write(http_response answer, bool keep);
    boost::asio::awaitable<void> wait_until_answered();
    void add(std::shared_ptr<exchange_state> one, bool repeatable);
    void refuse(error_kind kind);
    void start_ready();
    void drop_all();
    void limit_silence(milliseconds time);
    [[nodiscard]] bool is_repeatable(const http_request& message) const;
    [[nodiscard]] caller_limits limits() const;

    host_context& state;
    store_feed& feed;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_read_buffer_bytes};
    request_pipeline pipeline;
    std::deque<std::shared_ptr<exchange_state>> exchanges; ///< in the order of the pipeline
    boost::asio::steady_timer silence; ///< bounds how long the caller may send nothing
    boost::asio::steady_timer changed; ///< cancelled when an answer has been written
    bool waiting = false;              ///< for the first byte of a request
    bool receiving = false;            ///< a request has been read in part
    bool writing = false;
    bool closing = false; ///< no further answers are written
};

} // namespace figreach::direct
