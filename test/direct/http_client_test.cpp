#include "figreach/direct/runtime/http_client.h"

#include <array>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Makes one call to a peer that does not read until the call has ended.
struct unresponsive_peer {
    asio::io_context io;
    tcp::acceptor listener{io, {asio::ip::address_v4::loopback(), 0}};
    http_client client{io};
    std::optional<http_result> result;

    void call(milliseconds limit)
    {
        const auto address = "127.0.0.1:" + std::to_string(this->listener.local_endpoint().port());
        const auto one = [this, address, limit]() -> asio::awaitable<void> {
            this->result = co_await this->client.call(
                address, make_request(boost::beast::http::verb::post, "/grant", "keys"),
                monotonic_time::clock::now() + limit);
        };
        asio::co_spawn(this->io, one, asio::detached);
        this->io.run();
    }
};

} // namespace

TEST_GROUP(http_client_test){};

/// Guards against a grant that is delivered late: the link is cut while the grant is in flight and
/// recovers seconds later.
TEST(http_client_test, a_call_without_an_answer_leaves_nothing_on_the_way)
{
    unresponsive_peer peer;
    peer.call(milliseconds{50});
    CHECK_TRUE(std::get<call_failure>(*peer.result) == call_failure::no_answer);
    auto accepted = peer.listener.accept();
    std::array<char, 1024> bytes{};
    boost::system::error_code failed;
    // Received bytes can still be read; a plain close would end the stream with end of file.
    while (!failed) {
        accepted.read_some(asio::buffer(bytes), failed);
    }
    CHECK_TRUE(failed == asio::error::connection_reset);
}
