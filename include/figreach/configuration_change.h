#pragma once

#include <cstdint>
#include <string>

#include "figreach/configuration.h"
#include "figreach/document_codec.h"

namespace figreach {

/// State machine of one change of the description in the store. It performs no I/O: it takes the
/// store's answers and the current time and returns the next store call, until it returns the
/// answer to the operator.
///
/// The change writes the history by compare-and-swap. If the answer to the write is lost, it reads
/// the key and repeats the same write if the key still has the expected revision, so at most one
/// of the writes takes effect. The change is reported as not accepted only if none of its writes
/// can take effect any more.
class configuration_change {
public:
    explicit configuration_change(change_request request);

    /// Returns the first step. Must be called exactly once.
    [[nodiscard]] change_step start(monotonic_time now);
    /// Returns the step that follows the answer to the last call.
    [[nodiscard]] change_step on_answer(const store_result& answer, monotonic_time now);

private:
    [[nodiscard]] change_step on_result(const store_read& answer, monotonic_time now);
    [[nodiscard]] change_step on_result(const store_written& answer, monotonic_time now);
    [[nodiscard]] change_step on_result(const store_conflict& answer, monotonic_time now);
    [[nodiscard]] change_step on_result(const store_no_answer& answer, monotonic_time now);

    [[nodiscard]] change_step read(monotonic_time not_before) const;
    [[nodiscard]] change_step write(monotonic_time now) const;
    [[nodiscard]] change_step plan(const stored_value& present, monotonic_time now);
    [[nodiscard]] change_step check(std::string toml, monotonic_time now);
    [[nodiscard]] change_step propose(std::string toml, monotonic_time now);
    [[nodiscard]] change_step resolve(const stored_value& present, monotonic_time now);
    [[nodiscard]] change_step on_superseded(const stored_value& present, monotonic_time now);

    [[nodiscard]] change_step edit(const replace_description& what, monotonic_time now);
    [[nodiscard]] change_step edit(const set_domain_state& what, monotonic_time now);
    [[nodiscard]] change_step edit(const set_server_state& what, monotonic_time now);
    [[nodiscard]] change_step reject_unknown_item(fault what) const;
    template <class Item>
    [[nodiscard]] change_step edit_state(const char* list, const Item& item, service_state wanted,
                                         monotonic_time now);

    [[nodiscard]] change_answer answer(change_outcome outcome, std::string detail) const;
    [[nodiscard]] change_answer conflict(std::uint64_t based_on) const;

    change_request request;
    stored_value base_value;           ///< the stored history that the change builds on
    description_history known_history; ///< decoded from base_value
    description in_force;              ///< parsed from the newest record of known_history
    std::string proposal; ///< encoded history with the change; empty: nothing written yet
    std::uint64_t proposed_version = 0;
    std::vector<std::string> changes;
    std::uint32_t attempts = 0;
};

} // namespace figreach
