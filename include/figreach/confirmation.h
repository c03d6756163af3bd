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

/// Requests confirmation from the validators of one partition on behalf of a host. It builds rounds
/// of requests and derives from the answers which backend servers the host may coordinate and until
/// when.
class confirmation {
public:
    explicit confirmation(ownership_settings settings);

    /// Begins a round at the document's version. The caller sends the request to every validator of
    /// both sets. Authority over backend servers of earlier rounds that are not listed is given up.
    [[nodiscard]] confirm_request begin_round(const partition& document,
                                              std::vector<backend_server_id> servers,
                                              monotonic_time now);

    /// Counts the answer of a validator. Answers to unknown or outdated rounds are ignored.
    void on_answer(const host_id& from, const confirm_answer& answer);

    /// End of this host's authority over a backend server; a time in the past means none.
    [[nodiscard]] monotonic_time authority_until(const backend_server_id& server) const;
    /// The highest version at which a majority confirmed this host as coordinator of a backend
    /// server; 0 means none.
    [[nodiscard]] std::uint64_t confirmed_version(const backend_server_id& server) const;
    /// Start of the latest round that a majority answered, with any result; the epoch means none.
    [[nodiscard]] monotonic_time last_majority_contact() const;
    /// The highest version that a majority of validators, none of them recovering, reported as the
    /// highest one they know.
    [[nodiscard]] std::uint64_t known_version() const;

private:
    /// One request and the validators that answered it.
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

    /// Whether the hosts include a majority of both validator sets of the round.
    [[nodiscard]] static bool has_majority(const round& current_round,
                                           const std::set<host_id>& hosts);
    /// Extends the authorities that a majority confirmed; authority starts when the round began.
    void update_authorities(const round& current_round);

    ownership_settings settings;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, round> rounds;
    std::map<backend_server_id, authority> authorities;
    std::uint64_t highest_known_version = 0;
    monotonic_time last_contact{};
};

} // namespace figreach
