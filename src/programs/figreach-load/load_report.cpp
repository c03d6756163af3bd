#include "load_report.h"

#include <cstdio>

#include <boost/json.hpp>

namespace figreach::load {

namespace json = boost::json;

namespace {

constexpr double quantiles[] = {0.5, 0.9, 0.99, 0.999, 1.0};
constexpr const char* quantile_names[] = {"p50_ms", "p90_ms", "p99_ms", "p999_ms", "most_ms"};

double to_ms(nanoseconds time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

void add(stream_summary& out, const request_record& record)
{
    ++out.sent;
    out.answered += record.result == request_result::answered ? 1 : 0;
    out.not_run += record.result == request_result::not_run ? 1 : 0;
    out.unknown += record.result == request_result::unknown ? 1 : 0;
    out.no_answer += record.result == request_result::no_answer ? 1 : 0;
    if (!record.error.empty()) {
        ++out.errors[record.error];
    }
    if (record.result == request_result::answered) {
        out.answered_latency.add(record.latency);
    }
}

json::object to_object(const stream_summary& one)
{
    json::object out{{"stream", one.name},       {"sent", one.sent},
                     {"answered", one.answered}, {"refused_not_run", one.not_run},
                     {"unknown", one.unknown},   {"no_answer", one.no_answer}};
    for (std::size_t i = 0; i < std::size(quantiles); ++i) {
        out[quantile_names[i]] = to_ms(one.answered_latency.quantile(quantiles[i]));
    }
    json::object errors;
    for (const auto& [name, count] : one.errors) {
        errors[name] = count;
    }
    out["errors"] = std::move(errors);
    return out;
}

json::object to_object(const promise_counts& one)
{
    return {{"wrong_owner", one.wrong_owner},
            {"foreign_answers", one.foreign_answers},
            {"shortened_answers", one.shortened_answers},
            {"not_run_that_ran", one.not_run_that_ran},
            {"ran_twice", one.ran_twice}};
}

template <class... Arguments>
std::string format_line(const char* format, Arguments... arguments)
{
    constexpr std::size_t max_line_bytes = 256;
    char out[max_line_bytes];
    const int size = std::snprintf(out, sizeof out, format, arguments...);
    return size < 0 ? std::string{} : std::string{out};
}

std::string to_row(const stream_summary& one)
{
    const auto& latency = one.answered_latency;
    return format_line(
        "%-28s %8llu %8llu %8llu %8llu %8llu %8.2f %8.2f %8.2f\n", one.name.c_str(),
        static_cast<unsigned long long>(one.sent), static_cast<unsigned long long>(one.answered),
        static_cast<unsigned long long>(one.not_run), static_cast<unsigned long long>(one.unknown),
        static_cast<unsigned long long>(one.no_answer), to_ms(latency.quantile(0.5)),
        to_ms(latency.quantile(0.99)), to_ms(latency.quantile(0.999)));
}

std::string error_rows(const stream_summary& one)
{
    std::string out;
    for (const auto& [name, count] : one.errors) {
        out += format_line("  %-28s %8llu x %s\n", one.name.c_str(),
                           static_cast<unsigned long long>(count), name.c_str());
    }
    return out;
}

} // namespace

std::vector<stream_summary> summarize(const load_settings& settings,
                                      const std::vector<request_record>& records)
{
    std::vector<stream_summary> out;
    for (const auto& one : settings.streams) {
        stream_summary summary;
        summary.name = one.service + (one.request_class.empty() ? "" : "/" + one.request_class);
        out.push_back(std::move(summary));
    }
    for (const auto& record : records) {
        add(out[record.stream], record);
    }
    return out;
}

std::string to_table(const load_report& report)
{
    auto out =
        format_line("%-28s %8s %8s %8s %8s %8s %8s %8s %8s\n", "service/class", "sent", "answered",
                    "not run", "unknown", "lost", "p50 ms", "p99 ms", "p99.9 ms");
    std::string errors;
    for (const auto& one : report.streams) {
        out += to_row(one);
        errors += error_rows(one);
    }
    out += errors.empty() ? "" : "\nrefusals by error\n" + errors;
    out += "\nbroken promises\n";
    for (const auto& [name, count] : to_object(report.promises)) {
        out += format_line("  %-28s %8llu\n", std::string{name}.c_str(),
                           static_cast<unsigned long long>(count.to_number<std::uint64_t>()));
    }
    if (report.servers_not_checked > 0) {
        out += format_line("backend servers whose record is missing or incomplete: %llu\n",
                           static_cast<unsigned long long>(report.servers_not_checked));
    }
    return out;
}

std::string to_json(const load_report& report)
{
    json::array streams;
    for (const auto& one : report.streams) {
        streams.push_back(to_object(one));
    }
    json::array servers;
    for (const auto& one : report.server_counts) {
        servers.push_back(json::parse(one));
    }
    return json::serialize(
        json::object{{"duration_ms", report.duration.count()},
                     {"streams", std::move(streams)},
                     {"broken_promises", to_object(report.promises)},
                     {"overlapping_runs", report.promises.overlapping_runs},
                     {"answered_without_execution", report.promises.answered_without_execution},
                     {"servers_not_checked", report.servers_not_checked},
                     {"servers", std::move(servers)}});
}

} // namespace figreach::load
