#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/quota/quota_report.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/time.h"

namespace figreach::direct {

class leadership;
class store_feed;
struct host_context;

/// Reports this host's demand of each tenant to the leader and applies the shares that it gives:
/// at regular intervals, and at once when a request waits for a share. Does nothing while the
/// configuration has no tenant with a limit.
class quota_client {
public:
    /// All of them must outlive the client.
    quota_client(host_context& state, leadership& leader, store_feed& feed);

    void start();
    /// Answers another host's report; nullopt if this host does not lead.
    [[nodiscard]] static std::optional<quota_shares>
    answer(host_context& state, const leadership& leader, const quota_report& report);

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> report();
    boost::asio::awaitable<std::optional<quota_shares>> ask_leader(quota_report report);
    [[nodiscard]] bool has_limits() const;

    host_context& state;
    leadership& leader;
    store_feed& feed;
    http_client peers;
};

} // namespace figreach::direct
