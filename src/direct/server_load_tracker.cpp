#include "figreach/direct/server_load_tracker.h"

#include <algorithm>
#include <utility>

#include "figreach/direct/decay.h"
#include "figreach/key_hash.h"
#include "figreach/retry_budget.h"

namespace figreach::direct {

namespace {

/// Lower bound of the reported slowdown.
constexpr double min_slowdown = 0.1;
/// More than the number of requests that a host has in flight at one server.
constexpr std::size_t max_recent_sends = 64;

milliseconds scaled(milliseconds time, double factor)
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>{static_cast<double>(time.count()) * factor});
}

const server_load_view& unknown_server()
{
    static const server_load_view view;
    return view;
}

} // namespace

server_load_tracker::server_load_tracker(load_tracker_settings settings_) : settings{settings_} {}

void server_load_tracker::on_sent(const backend_server_id& id, monotonic_time now)
{
    auto& view = this->views[id];
    ++view.in_flight;
    ++view.sent_since_report;
    view.sends.push_back(now);
    if (view.sends.size() > max_recent_sends) {
        view.sends.pop_front();
    }
    view.last_sent_at = now;
}

void server_load_tracker::on_finished(const backend_server_id& id, send_outcome outcome,
                                      nanoseconds latency, const std::optional<load_report>& report,
                                      monotonic_time now)
{
    auto& view = this->views[id];
    view.in_flight -= std::min(view.in_flight, 1U);
    view.sent_since_report = std::min(view.sent_since_report, view.in_flight);
    if (report) {
        view.report = report;
        view.reported_at = now;
        view.report_unshared = true;
        view.sent_since_report = 0;
        view.sends.clear();
        this->record_news(view);
    }
    const bool turned_away = outcome == send_outcome::shed || outcome == send_outcome::failed;
    if (this->fresh_report(view, now) != nullptr) {
        this->update_queue_limit(view, turned_away, now);
    }
    const bool queued = report && report->waiting > 0;
    if (outcome == send_outcome::answered) {
        view.unreachable_until = {};
        if (!queued) {
            this->update_service_time(id, latency, report ? report->slowdown : 1.0);
        }
    }
    if (outcome == send_outcome::late) {
        this->add_service_time(id, latency);
    }
    if (outcome == send_outcome::unreachable) {
        view.unreachable_until = now + this->settings.avoid_unreachable;
    }
    if (outcome == send_outcome::failed || outcome == send_outcome::unreachable) {
        view.failures = this->recent_failures(view, now) + 1.0;
        view.failed_at = now;
    }
}

/// Updates the queue length from which a server refuses requests or resets their connections.
void server_load_tracker::update_queue_limit(server_load_view& view, bool turned_away,
                                             monotonic_time now) const
{
    const auto& report = *view.report;
    const auto least = std::max(report.slots, 1U) * this->settings.min_full_queue;
    if (turned_away && report.waiting >= least) {
        view.full_queue_length = report.waiting;
        view.full_seen_at = now;
    }
    else if (!turned_away && report.waiting > view.full_queue_length.value_or(report.waiting)) {
        view.full_queue_length.reset();
    }
}

/// Updates the moving average of the service time, normalized to the server's usual speed.
void server_load_tracker::update_service_time(const backend_server_id& id, nanoseconds latency,
                                              double slowdown)
{
    auto& view = this->views[id];
    const auto usual = scaled(std::chrono::duration_cast<milliseconds>(latency),
                              1.0 / std::max(slowdown, min_slowdown));
    const auto before = view.service_time.value_or(usual);
    view.service_time = before + scaled(usual - before, this->settings.smoothing_weight);
    this->add_service_time(id, latency);
}

void server_load_tracker::add_service_time(const backend_server_id& id, nanoseconds latency)
{
    auto& sample = this->service_times[id];
    sample.server = id;
    ++sample.answers;
    sample.total_time += std::chrono::duration_cast<std::chrono::microseconds>(latency);
}

void server_load_tracker::merge(const server_load& load, monotonic_time now)
{
    auto& view = this->views[load.server];
    merge_full_queue(view, load, now);
    const auto seen_at = now - load.age;
    if (view.report && seen_at <= view.reported_at) {
        return;
    }
    view.report = load.report;
    view.reported_at = seen_at;
    view.report_unshared = false;
    this->record_news(view);
    this->last_merged = std::max(this->last_merged.value_or(seen_at), seen_at);
    while (!view.sends.empty() && view.sends.front() <= seen_at) {
        view.sends.pop_front();
    }
    view.sent_since_report = static_cast<std::uint32_t>(view.sends.size());
}

/// Without the other host's refusal each host would have to be turned away itself, and a reset
/// leaves unknown whether the request ran.
void server_load_tracker::merge_full_queue(server_load_view& view, const server_load& load,
                                           monotonic_time now)
{
    if (load.full && now - load.full->age > view.full_seen_at) {
        view.full_queue_length = load.full->waiting;
        view.full_seen_at = now - load.full->age;
    }
}

std::optional<monotonic_time> server_load_tracker::last_answer_to_others() const
{
    return this->last_merged;
}

server_load server_load_tracker::load_of(const backend_server_id& id, const server_load_view& view,
                                         monotonic_time now) const
{
    const auto age_of = [now](monotonic_time time) {
        return std::chrono::floor<milliseconds>(now - time);
    };
    server_load out{.server = id, .report = *view.report, .age = age_of(view.reported_at)};
    if (view.full_queue_length && now < view.full_seen_at + this->settings.full_queue_max_age) {
        out.full = full_queue{.waiting = *view.full_queue_length, .age = age_of(view.full_seen_at)};
    }
    return out;
}

/// A host that knows of free slots gains nothing from each further report of them.
void server_load_tracker::record_news(server_load_view& view)
{
    const auto& report = *view.report;
    const bool queue = report.waiting > 0 || report.running >= report.slots;
    const bool overdue = view.reported_at >= view.news_at + this->settings.idle_report_interval;
    if (view.news_number == 0 || queue || view.news_of_queue || overdue) {
        view.news_number = ++this->last_news;
        view.news_at = view.reported_at;
        view.news_of_queue = queue;
    }
}

std::uint64_t server_load_tracker::report_cursor() const
{
    return this->last_news;
}

std::vector<server_load> server_load_tracker::reports(monotonic_time now, std::uint64_t after) const
{
    // A cursor of another process asks for all.
    const auto first = after <= this->last_news ? after : 0;
    std::vector<server_load> out;
    for (const auto& [id, view] : this->views) {
        if (view.news_number > first && this->fresh_report(view, now) != nullptr) {
            out.push_back(load_of(id, view, now));
        }
    }
    return out;
}

std::vector<server_load> server_load_tracker::take_own_reports(monotonic_time now)
{
    std::vector<server_load> out;
    for (auto& [id, view] : this->views) {
        if (std::exchange(view.report_unshared, false) &&
            this->fresh_report(view, now) != nullptr) {
            out.push_back(load_of(id, view, now));
        }
    }
    return out;
}

std::vector<service_time_sample> server_load_tracker::take_service_times()
{
    std::vector<service_time_sample> out;
    for (const auto& [id, sample] : std::exchange(this->service_times, {})) {
        out.push_back(sample);
    }
    return out;
}

const server_load_view& server_load_tracker::view(const backend_server_id& id) const
{
    const auto found = this->views.find(id);
    return found != this->views.end() ? found->second : unknown_server();
}

const load_report* server_load_tracker::fresh_report(const server_load_view& view,
                                                     monotonic_time now) const
{
    const bool fresh = view.report && now - view.reported_at < this->settings.report_max_age;
    return fresh ? &*view.report : nullptr;
}

/// Estimates the number of requests at the server: those of the last report plus requests of this
/// host that the report does not include. Until report_propagation has passed, requests that the
/// server completes are assumed to be balanced by requests from other hosts. After that, the
/// reported requests are counted down as completed.
double server_load_tracker::requests_ahead(const server_load_view& view, std::uint32_t slots,
                                           milliseconds service_time, monotonic_time now) const
{
    const auto* report = this->fresh_report(view, now);
    if (report == nullptr) {
        return view.in_flight;
    }
    const std::chrono::duration<double, std::milli> age = std::max(
        now - view.reported_at - this->settings.report_propagation, monotonic_time::duration{0});
    const auto busy = std::min(slots, report->running + report->waiting);
    const auto done =
        age.count() / static_cast<double>(std::max<std::int64_t>(service_time.count(), 1));
    const auto left = static_cast<double>(report->running + report->waiting) - done * busy;
    return std::max(std::max(left, 0.0) + view.sent_since_report,
                    static_cast<double>(view.in_flight));
}

double server_load_tracker::recent_failures(const server_load_view& view, monotonic_time now) const
{
    if (view.failures == 0.0) {
        return 0.0;
    }
    return view.failures * decay_factor(now - view.failed_at, this->settings.failure_decay_time);
}

milliseconds server_load_tracker::expected_service_time(const backend_server_id& id,
                                                        monotonic_time now) const
{
    const auto& known = this->view(id);
    const auto* report = this->fresh_report(known, now);
    const auto service_time = known.service_time.value_or(this->settings.assumed_service_time);
    return report != nullptr ? scaled(service_time, std::max(report->slowdown, 1.0)) : service_time;
}

milliseconds server_load_tracker::expected_wait(const backend_server_id& id, std::uint32_t slots,
                                                monotonic_time now) const
{
    const auto service_time = this->expected_service_time(id, now);
    const auto parallel = std::max(slots, 1U);
    const auto requests_ahead = this->requests_ahead(this->view(id), parallel, service_time, now);
    const auto rounds = (requests_ahead + 1.0 - parallel) / parallel;
    return scaled(service_time, std::max(rounds, 0.0));
}

double server_load_tracker::queue_fill(const backend_server_id& id, std::uint32_t slots,
                                       monotonic_time now) const
{
    const auto& known = this->view(id);
    if (!known.full_queue_length || now >= known.full_seen_at + this->settings.full_queue_max_age) {
        return 0.0;
    }
    const auto parallel = std::max(slots, 1U);
    const auto ahead =
        this->requests_ahead(known, parallel, this->expected_service_time(id, now), now);
    return std::max(ahead - parallel, 0.0) / std::max(*known.full_queue_length, 1U);
}

double server_load_tracker::cost(const backend_server_id& id, std::uint32_t slots,
                                 monotonic_time now) const
{
    const auto& known = this->view(id);
    const auto service_time = this->expected_service_time(id, now);
    const auto parallel = std::max(slots, 1U);
    const auto load = this->requests_ahead(known, parallel, service_time, now) / parallel;
    return static_cast<double>(service_time.count() + 1) *
           (1.0 + load + this->settings.failure_cost * this->recent_failures(known, now));
}

bool server_load_tracker::is_reachable(const backend_server_id& id, monotonic_time now) const
{
    return now >= this->view(id).unreachable_until;
}

bool server_load_tracker::answered_lately(const backend_server_id& id, monotonic_time now) const
{
    const auto& known = this->view(id);
    return known.report && now - known.reported_at < this->settings.answered_lately;
}

std::optional<monotonic_time> next_cold_send(const backend_server_id& id,
                                             const server_load_view& view, double rate,
                                             const host_id& self, const std::vector<host_id>& hosts)
{
    constexpr double burst = 1.5; ///< simultaneous senders per request of the rate
    constexpr std::chrono::duration<double> window{1.0};
    const auto most_senders = static_cast<std::size_t>(std::max(1.0, rate * burst));
    if (hosts.size() > most_senders) {
        // Rendezvous hashing selects different hosts for each server.
        const auto weight = [&id](const host_id& one) {
            return rendezvous_weight(id.value, one.value);
        };
        const auto own = weight(self);
        const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const host_id& one) {
            return one != self && weight(one) > own;
        });
        if (static_cast<std::size_t>(before) >= most_senders) {
            return std::nullopt;
        }
    }
    if (!view.last_sent_at) {
        return monotonic_time{};
    }
    const auto senders =
        static_cast<double>(std::min(std::max<std::size_t>(hosts.size(), 1), most_senders));
    const auto gap = std::max(window, std::chrono::duration<double>{senders / std::max(rate, 0.1)});
    return *view.last_sent_at + std::chrono::duration_cast<monotonic_time::duration>(gap);
}

std::optional<std::size_t> cheaper_of_two(const std::vector<double>& costs,
                                          std::uint64_t& random_state)
{
    if (costs.empty()) {
        return std::nullopt;
    }
    const auto first = next_random(random_state) % costs.size();
    const auto second = next_random(random_state) % costs.size();
    return costs[first] <= costs[second] ? first : second;
}

} // namespace figreach::direct
