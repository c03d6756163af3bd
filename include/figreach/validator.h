#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "figreach/ownership_settings.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// Confirms coordinators of backend servers. A validator tracks the highest version of each
/// partition that it has learned, and which coordinator holds which backend server until when. The
/// state is not persisted: after a restart, a validator confirms nothing until every hold that it
/// may have granted has expired and the current versions are known again.
class validator {
public:
    explicit validator(ownership_settings settings);

    /// Starts the waiting period after a restart. Must be called once, before any other function.
    void start(monotonic_time now);

    /// Answers a request. Grants or extends the requester's holds on the listed backend servers
    /// unless this validator is recovering, knows a higher version, or another coordinator holds
    /// the server; releases the requester's holds on servers that are not listed. A request older
    /// than the latest one of the same requester neither grants nor releases holds.
    [[nodiscard]] confirm_answer answer(const peer_message& message, const confirm_request& request,
                                        monotonic_time now);

    /// Records that a version exists. A version lower than the known one has no effect.
    void learn(const partition_version& version);

    /// Records that all versions were read from the store after start().
    void mark_all_versions_current();
    /// Records that a majority of the partition's other validators, none of them recovering, knows
    /// no higher version.
    void mark_version_current(const partition_id& id);

    /// The highest known version of a partition; 0 if none is known.
    [[nodiscard]] std::uint64_t version_of(const partition_id& id) const;
    /// Whether this validator may not confirm coordinators of the partition yet.
    [[nodiscard]] bool recovering(const partition_id& id, monotonic_time now) const;

private:
    /// One process of a host: a restarted host is a different requester.
    struct requester {
        host_id host;
        std::uint64_t incarnation = 0;

        friend auto operator<=>(const requester&, const requester&) = default;
    };
    /// The exclusive right of a requester to coordinate a backend server for a limited time.
    struct hold {
        requester holder;
        monotonic_time until{};
    };

    /// Releases the requester's holds on servers that the request does not list: a coordinator that
    /// no longer lists a backend server has given it up.
    void release_unlisted(const requester& from, const confirm_request& request);
    [[nodiscard]] bool may_hold(const partition_id& id, const backend_server_id& server,
                                const requester& from, monotonic_time now) const;

    ownership_settings settings;
    monotonic_time confirms_from{};
    bool all_versions_current = false;
    std::set<partition_id> current_partitions;
    std::map<partition_id, std::uint64_t> versions;
    std::map<partition_id, std::map<backend_server_id, hold>> holds;
    std::map<std::pair<partition_id, requester>, std::uint64_t> latest_sequence;
};

} // namespace figreach
