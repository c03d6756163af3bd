#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figreach/direct/forwarding_head.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/runtime/store_feed.h"

namespace figreach::direct {

/// HTTP server for calls from other entry hosts and for requests that they pass on. Serves changes
/// only while this host leads.
class peer_server {
public:
    /// Starts listening; throws boost::system::system_error on failure. The arguments must outlive
    /// the server.
    peer_server(host_context& state, leadership& leader, store_feed& feed);

    void start();
    /// The address that it listens on, with the port that was chosen if none was given.
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const;

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<std::optional<http_response>>
    serve_forwarded(boost::asio::ip::tcp::socket& socket, http_request request,
                    forwarding_head head);
    boost::asio::awaitable<http_response> handle(const http_request& request);
    boost::asio::awaitable<http_response> answer_without_leading(follow_request request);
    http_response handle_tenure_offer(const http_request& request);
    http_response handle_term(const http_request& request);
    http_response handle_quota_report(const http_request& request);
    [[nodiscard]] std::optional<leader_hint> known_leader() const;

    host_context& state;
    leadership& leader;
    store_feed& feed;
    boost::asio::ip::tcp::acceptor listener;
};

} // namespace figreach::direct
