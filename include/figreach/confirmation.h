#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "figreach/ownership_settings.h"
#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// The asking side of a host towards the validators of one partition: sends rounds of requests
/// and derives from the answers for how long it may coordinate which backend servers.
class confirmation {
public:
    explicit confirmation(ownership_settings settings);

    /// Begins a round at the document's version. The request goes to every validator of both
    /// sets. Backend servers that were asked for before and are not listed now are given up.
    [[nodiscard]] confirm_request begin_round(const partition& document,
                                              std::vector<backend_server_id> servers,
                                              monotonic_time now);

    void on_answer(const host_id& from, const confirm_answer& answer);

    /// End of this host's authority over a backend server; a time in the past: none.
    [[nodiscard]] monotonic_time authority_until(const backend_server_id& server) const;
    /// The highest version at which a majority confirmed this host for a backend server.
    [[nodiscard]] std::uint64_t confirmed_version(const backend_server_id& server) const;
    /// When the latest round began that a majority answered in any way; long ago: none.
    [[nodiscard]] monotonic_time last_majority_contact() const;
    /// The highest version that a majority, none of it recovering, knew and knew no higher one.
    [[nodiscard]] std::uint64_t known_version() const;

private:
    struct round {
        monotonic_time started_at{};
        std::uint64_t version = 0;
        std::vector<host_id> validators;
        std::vector<host_id> previous_validators;
        std::set<host_id> answered;
        std::set<host_id> agreed;
        std::map<backend_server_id, std::set<host_id>> confirmed;
    };
    struct authority {
        monotonic_time until{};
        std::uint64_t version = 0;
    };

    [[nodiscard]] static bool has_majority(const round& current_round,
                                           const std::set<host_id>& hosts);
    void update_authorities(const round& current_round);

    ownership_settings settings;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, round> rounds;
    std::map<backend_server_id, authority> authorities;
    std::uint64_t highest_known_version = 0;
    monotonic_time last_contact{};
};

} // namespace figreach
