#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct server_path_settings {
    /// Servers to which connections must fail before the path counts as lost. If fewer exist, all
    /// of them.
    std::size_t min_failed_servers = 3;
    /// Without any sign of a server for this long, connections are probed.
    milliseconds max_silence{400};
    milliseconds probe_interval{300};
    /// A longer pause between two ticks means that this host was stopped or had no processor time.
    milliseconds max_tick_gap{150};
};

/// Whether this host can reach backend servers at all. A single server that cannot be reached is
/// more likely to be down itself.
class server_path {
public:
    server_path(server_path_settings settings, monotonic_time now);

    /// A request or an order was sent.
    void on_sent();
    void on_finished();
    /// A new connection was made. Returns whether this ends the loss of the path.
    bool on_connected(monotonic_time now);
    /// An answer arrived. Returns whether this ends the loss of the path.
    bool on_answer(monotonic_time now);
    /// A connection could not be made. `server_count` is the number of known servers. Returns
    /// whether the path counts as lost from now on.
    bool on_failed(const backend_server_id& server, std::size_t server_count, monotonic_time now);
    /// To be called several times per second.
    void on_tick(monotonic_time now);

    [[nodiscard]] bool is_lost() const;
    /// Whether new connections fail, while answers may still arrive on connections made earlier.
    [[nodiscard]] bool connects_fail() const;
    /// Last sign of any server, or the start of this host.
    [[nodiscard]] monotonic_time last_reached() const;
    /// Servers to which connections have failed since the last new connection.
    [[nodiscard]] std::size_t failed_servers() const;
    /// Whether to try a connection to some server now. Counts as tried.
    [[nodiscard]] bool should_probe(monotonic_time now);

private:
    server_path_settings settings;
    monotonic_time reached_at;
    monotonic_time ticked_at;
    std::optional<monotonic_time> probed_at;
    std::set<backend_server_id> failed; ///< since the last new connection
    std::size_t min_failed;             ///< number of failed servers that is conclusive
    std::uint32_t pending = 0;          ///< requests and orders without an answer yet
    bool lost = false;
};

} // namespace figreach::direct
