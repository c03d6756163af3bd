#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "figreach/ownership_settings.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// A host's part in confirming coordinators: remembers the highest version of each partition
/// that it heard of, and which coordinator holds which backend server for how long. Keeps
/// nothing over a restart; a restarted validator confirms nothing until every hold that it may
/// have given has run out and it knows the versions again.
class validator {
public:
    explicit validator(ownership_settings settings);

    /// Starts the wait after a restart. To be called once, before any other function.
    void start(monotonic_time now);

    [[nodiscard]] confirm_answer answer(const peer_message& message, const confirm_request& request,
                                        monotonic_time now);

    /// A version exists. Lower versions than known change nothing.
    void learn(const partition_version& version);

    /// All versions in the store were read after start().
    void mark_all_versions_current();
    /// A majority of the partition's other validators, none of them recovering, knows no more.
    void mark_version_current(const partition_id& id);

    [[nodiscard]] std::uint64_t version_of(const partition_id& id) const;
    [[nodiscard]] bool recovering(const partition_id& id, monotonic_time now) const;

private:
    struct requester {
        host_id host;
        std::uint64_t incarnation = 0;

        friend auto operator<=>(const requester&, const requester&) = default;
    };
    struct hold {
        requester holder;
        monotonic_time until{};
    };

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
