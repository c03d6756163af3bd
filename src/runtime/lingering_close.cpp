#include "figreach/runtime/lingering_close.h"

#include <array>

#include <boost/asio/buffer.hpp>

#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/timed_read.h"

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr milliseconds linger_timeout{1000};
constexpr std::size_t chunk_bytes = 16 * 1024;

} // namespace

asio::awaitable<void> lingering_close(beast::tcp_stream& stream, std::uint64_t max_bytes)
{
    beast::error_code failed;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    const auto until = monotonic_time::clock::now() + linger_timeout;
    stream.expires_at(until);
    read_deadline deadline{until};
    std::array<char, chunk_bytes> chunk{};
    std::uint64_t discarded = 0;
    while (!failed && discarded < max_bytes) {
        const auto [read_error, count] = co_await read_some(stream, asio::buffer(chunk), deadline);
        failed = read_error;
        discarded += count;
    }
}

} // namespace figreach
