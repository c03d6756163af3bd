#pragma once

#include <cstdint>
#include <string>

#include "plane_fixture.h"

namespace figreach {

/// How a server ends a connection on which it has answered before it has read the whole request.
enum class early_ending : std::uint8_t {
    reset,            ///< resets the connection while the host is blocked in writing
    reset_at_once,    ///< resets the connection together with the answer
    close_then_reset, ///< closes its side and resets the connection later
    read_then_close,  ///< reads the rest of the request and closes the connection
};

/// An answer that a server sends once it has the head of a request.
struct early_answer {
    const char* name;
    std::string text;
    early_ending ending;
    bool complete; ///< the caller gets the answer
};

/// Larger than the buffers of the sockets between a host and a server, so that the host is still
/// writing when the answer ends.
inline constexpr std::size_t long_upload_bytes = 16UL * 1024 * 1024;

/// Time in which the host gets what was sent before and blocks in writing.
inline constexpr milliseconds early_answer_pause{50};

/// Answers one request on a connection. The body of a request must have long_upload_bytes.
inline void send_early(tcp::socket& socket, const early_answer& answer)
{
    boost::system::error_code failed;
    std::string rest;
    if (read_head(socket, rest).empty()) {
        return;
    }
    boost::asio::write(socket, boost::asio::buffer(answer.text), failed);
    if (answer.ending != early_ending::reset_at_once) {
        std::this_thread::sleep_for(early_answer_pause);
    }
    if (answer.ending == early_ending::read_then_close) {
        std::vector<char> chunk(64 * 1024);
        for (auto count = rest.size(); count < long_upload_bytes && !failed;) {
            count += socket.read_some(boost::asio::buffer(chunk), failed);
        }
        return;
    }
    if (answer.ending == early_ending::close_then_reset) {
        socket.shutdown(tcp::socket::shutdown_send, failed);
        std::this_thread::sleep_for(early_answer_pause);
    }
    socket.set_option(boost::asio::socket_base::linger{true, 0}, failed);
    socket.close(failed);
}

/// Early answers with these lines in their heads, ended in every way.
inline std::vector<early_answer> early_answers(const std::string& fields)
{
    const auto head = "HTTP/1.1 200 OK\r\n" + fields;
    const auto old_head = "HTTP/1.0 200 OK\r\n" + fields;
    const std::string body = "\r\nplan";
    return {
        {"no length, reset", head + body, early_ending::reset, false},
        {"no length, reset at once", head + body, early_ending::reset_at_once, false},
        {"no length, reset before the body", head + "\r\n", early_ending::reset, false},
        {"HTTP/1.0, reset", old_head + body, early_ending::reset, false},
        {"Connection: close, reset", head + "Connection: close\r\n" + body, early_ending::reset,
         false},
        {"a failure without length, reset", "HTTP/1.1 500 Odd\r\n" + fields + body,
         early_ending::reset, false},
        {"length, reset in the body", head + "Content-Length: 9\r\n" + body, early_ending::reset,
         false},
        {"chunked, reset before the last chunk",
         head + "Transfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n", early_ending::reset, false},
        {"length, reset", head + "Content-Length: 4\r\n" + body, early_ending::reset, true},
        {"chunked, reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n",
         early_ending::reset, true},
        {"no length, closed, reset later", head + body, early_ending::close_then_reset, true},
        {"HTTP/1.0, closed, reset later", old_head + body, early_ending::close_then_reset, true},
        {"no length, closed after the upload", head + body, early_ending::read_then_close, true},
        {"HTTP/1.0, closed after the upload", old_head + body, early_ending::read_then_close, true},
        {"Connection: close, closed after the upload", head + "Connection: close\r\n" + body,
         early_ending::read_then_close, true},
        {"length, closed after the upload", head + "Content-Length: 4\r\n" + body,
         early_ending::read_then_close, true},
    };
}

} // namespace figreach
