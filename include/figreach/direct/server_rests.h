#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct server_rest_settings {
    /// Longer rests are believed for this long. The server can ask again.
    milliseconds longest{60'000};
};

/// Backend servers that have turned a request of this host away and want no other one from it for
/// some time. Each answer counts: a later, shorter rest does not end an earlier one. A new lifetime
/// of the server has asked for nothing yet.
class server_rests {
public:
    explicit server_rests(server_rest_settings settings = {});

    /// Records an answer received now. Returns whether the server rests for longer than was known.
    bool on_turned_away(const backend_server_id& id, std::uint64_t lifetime, milliseconds wanted,
                        monotonic_time now);
    /// Time until this host may send to the server; 0 if it may send now.
    [[nodiscard]] milliseconds time_left(const backend_server_id& id, std::uint64_t lifetime,
                                         monotonic_time now) const;
    /// Number of servers that rest now.
    [[nodiscard]] std::size_t count(monotonic_time now) const;
    /// Forgets rests that are over.
    void prune(monotonic_time now);

private:
    struct rest_record {
        std::uint64_t lifetime = 0;
        monotonic_time until{};
    };

    server_rest_settings settings;
    std::map<backend_server_id, rest_record> rests;
};

} // namespace figreach::direct
