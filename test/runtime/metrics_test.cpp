#include "figreach/runtime/metrics.h"

#include <thread>

#include "property.h"

using namespace figreach;

namespace {

const tenant_id pelita{"pelita"};
const class_id browse{"browse"};

bool has_line(const std::string& page, const std::string& line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

struct record_row {
    const char* name;
    request_result result;
    milliseconds latency;
    const char* line;
};

const record_row record_rows[] = {
    {"status", 200U, milliseconds{1}, R"(figreach_requests_total{status="200"} 1)"},
    {"refusal", error_kind::no_owner, milliseconds{1},
     R"(figreach_refusals_total{error="no_owner"} 1)"},
    {"below a bound", 200U, milliseconds{4},
     R"(figreach_request_seconds_bucket{tenant="pelita",class="browse",le="0.005"} 1)"},
    {"above a bound", 200U, milliseconds{6},
     R"(figreach_request_seconds_bucket{tenant="pelita",class="browse",le="0.005"} 0)"},
    {"above all bounds", 200U, milliseconds{60000},
     R"(figreach_request_seconds_bucket{tenant="pelita",class="browse",le="30"} 0)"},
    {"infinite bucket", 200U, milliseconds{60000},
     R"(figreach_request_seconds_bucket{tenant="pelita",class="browse",le="+Inf"} 1)"},
    {"sum", 200U, milliseconds{1500},
     R"(figreach_request_seconds_sum{tenant="pelita",class="browse"} 1.5)"},
    {"most", 200U, milliseconds{1500},
     R"(figreach_request_seconds_most{tenant="pelita",class="browse"} 1.5)"},
};

} // namespace

TEST_GROUP(metrics_test){};

TEST(metrics_test, shows_what_was_recorded)
{
    for (const auto& row : record_rows) {
        metrics page;
        page.add_request_thread().record(pelita, browse, row.result, row.latency);
        CHECK_TRUE_TEXT(has_line(page.to_text(), row.line), row.name);
    }
}

TEST(metrics_test, shows_values_that_are_read_with_the_page)
{
    metrics page;
    std::uint64_t value = 0;
    page.add({.name = "ring_refusals_total",
              .help = "Help.",
              .labels = to_label("ring", "a\"b\\c\nd"),
              .type = metric_type::counter,
              .read = [&value] { return value; }});
    value = 7;
    const auto text = page.to_text();
    CHECK_TRUE(has_line(text, R"(figreach_ring_refusals_total{ring="a\"b\\c\nd"} 7)"));
    CHECK_TRUE(has_line(text, "# TYPE figreach_ring_refusals_total counter"));
}

TEST(metrics_test, adds_up_all_request_threads)
{
    CHECK_PROPERTY("sum over threads", [](const std::vector<std::uint8_t>& latencies) {
        constexpr std::size_t thread_count = 3;
        metrics page;
        std::vector<request_metrics*> threads;
        for (std::size_t i = 0; i < thread_count; ++i) {
            threads.push_back(&page.add_request_thread());
        }
        for (std::size_t i = 0; i < latencies.size(); ++i) {
            threads[i % thread_count]->record(pelita, browse, 200U, milliseconds{latencies[i]});
        }
        const auto line = R"(figreach_request_seconds_count{tenant="pelita",class="browse"} )" +
                          std::to_string(latencies.size());
        RC_ASSERT(latencies.empty() || has_line(page.to_text(), line));
    });
}

TEST(metrics_test, may_be_read_while_threads_record)
{
    constexpr int records = 2000;
    metrics page;
    auto& recorder = page.add_request_thread();
    std::thread recording{[&recorder] {
        for (int i = 0; i < records; ++i) {
            recorder.record(pelita, browse, 200U, milliseconds{i % 10});
        }
    }};
    for (int i = 0; i < 20; ++i) {
        CHECK_FALSE(page.to_text().empty());
    }
    recording.join();
    CHECK_TRUE(has_line(page.to_text(), R"(figreach_requests_total{status="200"} 2000)"));
}
