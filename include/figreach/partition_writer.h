#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "figreach/partition.h"
#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

/// One host's access to one partition document in the store: at most one call at a time, writes
/// by compare-and-swap only. After a write without an answer its outcome is unknown until the
/// document was read again; only what the store said is ever handed out.
class partition_writer {
public:
    /// `writer_prefix` is unique to this start of this host.
    partition_writer(partition_id id, std::string writer_prefix);

    /// Whether the document that the store last told has this version and no call is open.
    [[nodiscard]] bool ready(std::uint64_t version) const;

    /// A read, when none is open and the last one began at least `interval` ago; the interval
    /// grows while the store is silent.
    [[nodiscard]] std::optional<store_call> read(milliseconds interval, monotonic_time now);

    /// Writes the next version. Requires ready().
    [[nodiscard]] store_call write(partition changed);

    /// Takes the answer to the open call. The document, when the store told one.
    [[nodiscard]] std::optional<partition> on_result(const store_result& result);

    /// Whether the store said that the document does not exist.
    [[nodiscard]] bool absent() const;

private:
    [[nodiscard]] std::optional<partition> adopt(const stored_value* present);

    partition_id id;
    std::string writer_prefix;
    std::uint64_t writes = 0;
    bool call_pending = false;
    std::optional<std::uint64_t> base_version; ///< empty: unknown
    std::int64_t base_revision = 0;
    partition pending_write;
    unsigned unanswered_calls = 0;
    monotonic_time last_read{};
};

} // namespace figreach
