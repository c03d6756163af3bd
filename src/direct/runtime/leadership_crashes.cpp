// The store's record of requests that crash backend servers, while this host leads.

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/runtime/leadership.h"
#include "figreach/runtime/log.h"
#include "leadership_timing.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

constexpr milliseconds crash_check_interval{200};

} // namespace

void leadership::record_crashes(const std::shared_ptr<term_state>& own)
{
    const auto now = monotonic_time::clock::now();
    if (now < own->next_crash_check || this->is_of_earlier_era(*own)) {
        return;
    }
    own->next_crash_check = now + crash_check_interval;
    crash_record record{.term = own->term, .reports = this->state.suspects.record(now)};
    if (this->state.crash_record_writes.try_begin(record.reports, now)) {
        asio::co_spawn(this->state.io, this->write_crash_record(own, std::move(record)),
                       asio::detached);
    }
}

asio::awaitable<void> leadership::write_crash_record(std::shared_ptr<term_state> own,
                                                     crash_record record)
{
    store_transaction change{.era = own->term_revision.era()};
    change.conditions = {{.key = term_key, .revision = own->term_revision}};
    change.writes = {{.key = crash_record_key, .value = encode(record)}};
    const auto written = co_await this->state.store.commit(std::move(change), call_timeout);
    const auto* failure = std::get_if<store_failure>(&written);
    if (failure == nullptr) {
        this->state.crash_record_writes.on_written(record.reports);
    }
    else {
        this->state.crash_record_writes.on_not_written();
    }
    log_event(log_level::info, "crash_record_written",
              {{"term", std::to_string(record.term)},
               {"requests", std::to_string(record.reports.size())},
               {"outcome", failure == nullptr ? "done" : name_of(*failure)}});
}

} // namespace figreach::direct
