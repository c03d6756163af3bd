#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "figreach/direct/server_lifetime.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct cold_check_settings {
    /// For which a server counts as warm after it has said so. Bounds what it gets at full rate
    /// once it has turned cold.
    milliseconds warm_lasts{300};
    /// After a check without an answer, so that requests to a silent server are not all delayed.
    milliseconds failure_lasts{1000};
};

enum class cold_check_step : std::uint8_t {
    none, ///< the server has answered lately
    ask,  ///< ask the server
    wait, ///< the server has been asked and has not answered yet
};

/// Decides when to ask backend servers whether they are cold. One check of a server is in progress
/// at a time.
class cold_checks {
public:
    explicit cold_checks(cold_check_settings settings = {});

    [[nodiscard]] cold_check_step next(const server_lifetime& server, monotonic_time now) const;
    void on_asked(const server_lifetime& server);
    void on_finished(const server_lifetime& server, bool answered, monotonic_time now);
    /// Forgets servers that are not known any more.
    void prune(const std::function<bool(const backend_server_id&)>& is_known);

private:
    struct check_record {
        bool in_progress = false;
        monotonic_time due{}; ///< when the server is asked again
    };

    cold_check_settings settings;
    std::map<server_lifetime, check_record> checks;
};

} // namespace figreach::direct
