#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct refused_keys_settings {
    milliseconds first_pause{200}; ///< about the time until the next news of the key table
    milliseconds max_pause{800};   ///< the pause doubles with each refusal under one fence
    std::size_t max_keys = 4096;
};

/// Keys that a backend server has refused because it does not hold them, though the key table of
/// this host names it as their owner: they have moved, and a table with a later fence is on its
/// way. Requests for such a key wait for that table instead of being sent in vain, which would
/// use up the budget of retries. If no later table comes, one is sent after a pause, since the
/// server may have been granted the keys late.
class refused_keys {
public:
    explicit refused_keys(refused_keys_settings settings = {});

    /// `fence` is the one under which the key table named the server that refused.
    void on_refused(const service_id& service, std::uint32_t key, std::uint64_t fence,
                    monotonic_time now);
    /// Whether a request for the key waits while the table has this fence.
    [[nodiscard]] bool must_wait(const service_id& service, std::uint32_t key, std::uint64_t fence,
                                 monotonic_time now) const;

private:
    struct refusal {
        std::uint64_t fence = 0;
        milliseconds pause{0};
        monotonic_time until{};
    };

    refused_keys_settings settings;
    std::map<std::pair<service_id, std::uint32_t>, refusal> refusals;
};

} // namespace figreach::direct
