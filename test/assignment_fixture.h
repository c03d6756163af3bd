#pragma once

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figreach/assigner.h"

/// Small descriptions and documents for tests of the assigner and its parts.
namespace figreach::fixture {

inline const service_id lessons{"lessons"};
inline const partition_id lessons_0{.service = lessons, .number = 0};

inline backend_server_id server_name(std::size_t number)
{
    return {"s" + std::to_string(number)};
}

/// Describes one service; server i is in failure domain i % 3.
inline description describe(std::size_t servers, std::uint32_t slices_per_server = 16)
{
    description all;
    all.version = 1;
    for (const auto* name : {"d0", "d1", "d2"}) {
        all.failure_domains.push_back({.name = {name}, .region = {"r"}});
    }
    all.services.push_back({.name = lessons, .slices_per_server = slices_per_server});
    for (std::size_t i = 0; i < servers; ++i) {
        all.backend_servers.push_back({.name = server_name(i),
                                       .service = lessons,
                                       .failure_domain = all.failure_domains[i % 3].name});
    }
    return all;
}

inline partition first_document(const description& all)
{
    return first_assignment(all, lessons_0, {{"h0"}}, "w");
}

/// Completes every move, as the second write of a hand-over does.
inline partition complete_moves(partition document)
{
    for (auto& one : document.slices) {
        if (one.moving_to) {
            one.owner = *one.moving_to;
            one.moving_to.reset();
            ++one.fence;
        }
    }
    return document;
}

inline double width_of(const partition& document, std::size_t index)
{
    const auto count =
        static_cast<double>(last_hash(document, index) - document.slices[index].first) + 1.0;
    return std::ldexp(count, -64);
}

/// Returns the share of the hash space that is moving.
inline double moving_width(const partition& document)
{
    double out = 0.0;
    for (std::size_t i = 0; i < document.slices.size(); ++i) {
        out += document.slices[i].moving_to ? width_of(document, i) : 0.0;
    }
    return out;
}

/// Returns the share of the hash space by next owner.
inline std::map<backend_server_id, double> widths_by_server(const partition& document)
{
    std::map<backend_server_id, double> out;
    for (std::size_t i = 0; i < document.slices.size(); ++i) {
        const auto& one = document.slices[i];
        out[document.backend_servers[one.moving_to.value_or(one.owner)]] += width_of(document, i);
    }
    return out;
}

/// Returns one report per listed server, with the load that `load_of_range` gives for its slices.
template <class Load>
std::vector<load_report> reports_of(const partition& document, const Load& load_of_range)
{
    std::vector<load_report> out;
    for (const auto& name : document.backend_servers) {
        out.push_back({.id = document.id, .server = name});
    }
    for (std::size_t i = 0; i < document.slices.size(); ++i) {
        const auto& one = document.slices[i];
        const auto rate = load_of_range(one.first, last_hash(document, i));
        out[one.owner].slices.push_back({.first = one.first, .requests_per_second = rate});
    }
    return out;
}

} // namespace figreach::fixture
