#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "figreach/partition.h"
#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

/// One host's access to a partition document in the store: at most one call at a time, writes by
/// compare-and-swap only. The outcome of an unanswered write is unknown until the document has been
/// read again; only documents confirmed by the store are returned.
class partition_writer {
public:
    /// `writer_prefix` is unique to this incarnation of the host.
    partition_writer(partition_id id, std::string writer_prefix);

    /// Returns whether the last known stored version is `version` (0 if absent) and no call is
    /// pending.
    [[nodiscard]] bool ready(std::uint64_t version) const;

    /// Returns a read if no call is pending and the last read began at least `interval` ago. The
    /// interval doubles with each unanswered call, up to eight times its length.
    [[nodiscard]] std::optional<store_call> read(milliseconds interval, monotonic_time now);

    /// Returns a write of the next version. Requires ready().
    [[nodiscard]] store_call write(partition changed);

    /// Handles the result of the pending call. Returns the stored document if the result contains
    /// one.
    [[nodiscard]] std::optional<partition> on_result(const store_result& result);

    /// Returns whether the store reported that the document does not exist.
    [[nodiscard]] bool absent() const;

private:
    [[nodiscard]] std::optional<partition> adopt(const stored_value* present);

    partition_id id;
    std::string writer_prefix;
    std::uint64_t writes = 0;
    bool call_pending = false;
    std::optional<std::uint64_t> base_version; ///< empty if unknown
    std::int64_t base_revision = 0;
    partition pending_write;
    unsigned unanswered_calls = 0;
    monotonic_time last_read{};
};

} // namespace figreach
