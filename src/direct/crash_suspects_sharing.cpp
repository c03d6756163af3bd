// What hosts tell each other, and what the store holds, of requests that crash backend servers.

#include <algorithm>
#include <tuple>
#include <utility>

#include "figreach/direct/crash_suspects.h"

namespace figreach::direct {

namespace {

milliseconds age_of(monotonic_time at, monotonic_time now)
{
    return std::max(std::chrono::floor<milliseconds>(now - at), milliseconds{0});
}

bool contains(const std::vector<crash_report>& reports, const request_digest& digest,
              const server_lifetime& server)
{
    return std::any_of(reports.begin(), reports.end(), [&](const crash_report& report) {
        return report.digest == digest &&
               std::any_of(report.losses.begin(), report.losses.end(),
                           [&](const reported_loss& one) { return one.server == server; });
    });
}

} // namespace

reported_loss crash_suspects::report_of(const server_lifetime& server, const loss& one,
                                        monotonic_time now) const
{
    reported_loss out{.server = server,
                      .failure_domain = one.failure_domain,
                      .sender = one.sender,
                      .ran = age_of(one.sent_at, one.at),
                      .age = age_of(one.at, now),
                      .alive_age = std::nullopt,
                      .stored = one.stored};
    const auto found = this->lives.find(server);
    if (found != this->lives.end() && found->second.alive_at) {
        out.alive_age = age_of(*found->second.alive_at, now);
    }
    return out;
}

void crash_suspects::merge(const crash_report& report, monotonic_time now)
{
    auto& entry = this->known[report.digest];
    if (report.cleared_age) {
        this->clear(entry, now - *report.cleared_age);
    }
    for (const auto& one : report.losses) {
        const auto at = now - one.age;
        this->lives[one.server];
        if (one.alive_age) {
            this->mark_alive(one.server, now - *one.alive_age);
        }
        this->add(entry, one.server,
                  {.at = at,
                   .sent_at = at - one.ran,
                   .failure_domain = one.failure_domain,
                   .sender = one.sender,
                   .stored = one.stored});
    }
    this->recount(report.digest, entry, now);
    this->evict();
}

void crash_suspects::restore(const std::vector<crash_report>& reports, monotonic_time now)
{
    for (auto report : reports) {
        for (auto& one : report.losses) {
            one.stored = true;
        }
        this->merge(report, now);
    }
}

void crash_suspects::keep_restored(const std::vector<crash_report>& reported, monotonic_time now)
{
    if (reported.size() >= this->settings.max_reports) {
        return; // not all are reported
    }
    for (auto& item : this->known) {
        const auto& digest = item.first;
        auto& entry = item.second;
        const auto erased = std::erase_if(entry.losses, [&](const auto& loss_item) {
            return loss_item.second.stored && !contains(reported, digest, loss_item.first);
        });
        if (erased > 0) {
            this->recount(digest, entry, now);
        }
    }
}

std::vector<crash_report> crash_suspects::record(monotonic_time now) const
{
    std::vector<const suspects::value_type*> ordered;
    for (const auto& one : this->known) {
        if (one.second.counted >= this->settings.suspect_losses) {
            ordered.push_back(&one);
        }
    }
    const auto count = std::min(ordered.size(), max_recorded_requests);
    std::partial_sort(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(count),
                      ordered.end(), [](const auto* left, const auto* right) {
                          return std::tie(left->second.counted, left->second.last_at) >
                                 std::tie(right->second.counted, right->second.last_at);
                      });
    std::vector<crash_report> out;
    for (std::size_t i = 0; i < count; ++i) {
        crash_report report{.digest = ordered[i]->first, .losses = {}, .cleared_age = std::nullopt};
        for (const auto& [server, one] : ordered[i]->second.losses) {
            if (!this->is_refuted(server, one)) {
                report.losses.push_back(this->report_of(server, one, now));
                report.losses.back().alive_age.reset();
            }
        }
        out.push_back(std::move(report));
    }
    return out;
}

std::vector<crash_report> crash_suspects::reports(monotonic_time now) const
{
    std::vector<crash_report> out;
    for (const bool held : {true, false}) {
        for (const auto& [digest, entry] : this->known) {
            const bool is_held = entry.counted >= this->settings.held_losses;
            if (!entry.shared || is_held != held || out.size() == this->settings.max_reports) {
                continue;
            }
            crash_report report{.digest = digest, .losses = {}, .cleared_age = std::nullopt};
            for (const auto& [server, one] : entry.losses) {
                report.losses.push_back(this->report_of(server, one, now));
            }
            if (entry.cleared_at && now < *entry.cleared_at + this->settings.cleared_memory) {
                report.cleared_age = age_of(*entry.cleared_at, now);
            }
            out.push_back(std::move(report));
        }
    }
    return out;
}

std::vector<crash_report> crash_suspects::take_own_reports(monotonic_time now)
{
    std::vector<crash_report> out;
    for (auto& [digest, entry] : this->known) {
        if (out.size() == this->settings.max_reports) {
            break;
        }
        if (entry.untold.empty() && !entry.clearance_untold) {
            continue;
        }
        crash_report report{.digest = digest, .losses = {}, .cleared_age = std::nullopt};
        for (const auto& server : std::exchange(entry.untold, {})) {
            report.losses.push_back(this->report_of(server, entry.losses.at(server), now));
        }
        if (std::exchange(entry.clearance_untold, false)) {
            report.cleared_age = age_of(*entry.cleared_at, now);
        }
        out.push_back(std::move(report));
    }
    return out;
}

void crash_suspects::tell_again()
{
    for (auto& [digest, entry] : this->known) {
        entry.untold = entry.own;
        // The leader may have just started, and the hosts that saw the losses may have ended.
        if (entry.counted >= this->settings.held_losses) {
            for (const auto& [server, one] : entry.losses) {
                // The leader has read the store itself.
                if (!one.stored) {
                    entry.untold.insert(server);
                }
            }
        }
        entry.clearance_untold = entry.cleared_here;
    }
}

} // namespace figreach::direct
