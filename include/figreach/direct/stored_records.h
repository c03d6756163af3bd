#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/crash_report.h"
#include "figreach/direct/key_table.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// The entry host that sends orders about keys, or the last one that did.
struct leader_term {
    std::uint64_t term = 0;
    host_id host;
    std::uint64_t host_lifetime = 0;
    bool resigned = false; ///< sends no further orders
    milliseconds hold{0};  ///< duration of its longest grants
    /// For how long grants of earlier leaders may last after it resigned.
    milliseconds former_orders{0};

    friend bool operator==(const leader_term&, const leader_term&) = default;
};

/// Registration of a running entry host.
struct live_host {
    host_id name;
    std::uint64_t lifetime = 0;
    std::string peer_address;
    std::uint32_t processor_percent = 100; ///< of one core
    failure_domain_id failure_domain;
    std::string secret = {}; ///< see counted_proof.h; empty if the host has none

    friend bool operator==(const live_host&, const live_host&) = default;
};

/// What hosts know of requests that crash backend servers, for hosts that start after all have
/// ended.
struct crash_record {
    std::uint64_t term = 0;            ///< of the leader that wrote it
    std::vector<crash_report> reports; ///< at most max_recorded_requests

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

// Store keys of the items that entry hosts write.
inline constexpr auto own_prefix = "figreach/";
inline constexpr auto leader_key = "figreach/leader";
inline constexpr auto term_key = "figreach/term";
inline constexpr auto hosts_prefix = "figreach/hosts/";
inline constexpr auto key_tables_prefix = "figreach/keys/";
inline constexpr auto crash_record_key = "figreach/crashes";

[[nodiscard]] std::string encode(const key_table& table);
[[nodiscard]] std::string encode(const leader_term& term);
[[nodiscard]] std::string encode(const live_host& host);
[[nodiscard]] std::string encode(const crash_record& record);

// These return an empty optional if the bytes are malformed or violate an invariant of the type.
[[nodiscard]] std::optional<key_table> decode_key_table(std::string_view bytes);
[[nodiscard]] std::optional<leader_term> decode_leader_term(std::string_view bytes);
[[nodiscard]] std::optional<live_host> decode_live_host(std::string_view bytes);
[[nodiscard]] std::optional<crash_record> decode_crash_record(std::string_view bytes);

} // namespace figreach::direct
