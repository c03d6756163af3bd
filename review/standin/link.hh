#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace figreach::review {

/// A proxy between one host and the store, or between the other hosts and a host. It can be cut,
/// and it can lose the answer to a call.
class link {
public:
    link(boost::asio::io_context& io, std::string to);

    bool cut = false; ///< nothing passes, in either direction
    /// Whether the answer to this call is lost. Nothing more passes on its connection then.
    std::function<bool(std::string_view call)> loses_answer;
    /// Address by which a host registers, and the one under which others reach it: a proxy's.
    std::string own_peer_address;
    std::string public_peer_address;

    [[nodiscard]] const std::string& address() const;

private:
    struct pair;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> pass_calls(std::shared_ptr<pair> ends);
    boost::asio::awaitable<void> pass_answers(std::shared_ptr<pair> ends);
    boost::asio::awaitable<void> wait_while_cut();
    [[nodiscard]] std::string translate(std::string call) const;

    boost::asio::io_context& io;
    std::string target;
    boost::asio::ip::tcp::acceptor listening;
    std::string own_address;
};

} // namespace figreach::review
