// Load generator: sends requests open-loop, reports latency per class and counts broken promises.

#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

#include <boost/program_options.hpp>

#include "backend_records.h"
#include "load_report.h"
#include "load_settings.h"
#include "load_worker.h"

#include "figreach/toml_reader.h"

namespace options = boost::program_options;
namespace load = figreach::load;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_broken_promise = 1;
constexpr int exit_usage = 2;
constexpr int exit_not_checked = 3;

constexpr auto usage = R"(figreach-load --host ADDRESS... --stream FIELDS... [--backend ADDRESS...]

Sends requests open-loop: their times do not depend on the responses. With --backend, fetches the
executions of each backend server and counts broken promises: a key run by a wrong owner, a response
to another request, a truncated response, a request refused as "not_run" that ran, a non-idempotent
request that ran twice. With --no-loss, a request without a response counts as one as well.

Exit status: 0 no promise broken; 1 a promise was broken; 2 invalid usage; 3 no request was answered,
or the record of a backend server is missing or incomplete.

FIELDS: service=NAME[,tenant=NAME][,class=NAME][,rate=N][,posts=SHARE][,keyed=0|1]
        [,answer-bytes=N][,upload-bytes=N]

Options)";

using string_list = std::vector<std::string>;

options::options_description described_options(load::load_settings& out)
{
    options::options_description all{usage};
    auto add = all.add_options();
    add("help", "print this text");
    add("host", options::value(&out.hosts)->composing(),
        "address on which an entry host accepts requests");
    add("ready", options::value(&out.admin_addresses)->composing(),
        "admin address of the --host in the same position; only hosts whose /ready succeeds get "
        "requests, as behind a load balancer");
    add("no-loss", "count a request without a response as a broken promise");
    add("backend", options::value(&out.backends)->composing(), "address of a backend server");
    add("stream", options::value<string_list>()->composing(),
        "stream of requests of one class, see above");
    add("seconds", options::value<double>()->default_value(10.0),
        "duration of the arrivals in seconds");
    add("most", options::value(&out.max_requests)->default_value(out.max_requests),
        "maximum number of requests");
    add("threads", options::value(&out.threads)->default_value(out.threads), "number of threads");
    add("connections", options::value(&out.connections)->default_value(out.connections),
        "maximum connections per thread and entry host");
    add("seed", options::value(&out.seed)->default_value(out.seed),
        "seed of the random number generators");
    add("keys", options::value(&out.keys)->default_value(out.keys), "number of keys");
    add("zipf", options::value(&out.zipf_exponent)->default_value(out.zipf_exponent),
        "exponent of the Zipf distribution of keys");
    add("hot-set-seconds", options::value<double>()->default_value(2.0),
        "interval at which the set of popular keys changes");
    add("deadline-ms", options::value<std::int64_t>()->default_value(out.deadline.count()),
        "deadline of each request in milliseconds");
    add("repeats", options::value(&out.repeat_fraction)->default_value(out.repeat_fraction),
        "fraction of the non-idempotent requests that are sent a second time, each through a newly "
        "chosen host");
    add("json", "print the summary as JSON");
    return all;
}

figreach::milliseconds to_ms(double seconds)
{
    return std::chrono::duration_cast<figreach::milliseconds>(
        std::chrono::duration<double>{seconds});
}

void apply_parsed_options(load::load_settings& out, const options::variables_map& given)
{
    for (const auto& text : given["stream"].as<string_list>()) {
        out.streams.push_back(load::parse_stream(text));
    }
    out.duration = to_ms(given["seconds"].as<double>());
    out.hot_set_lifetime = to_ms(given["hot-set-seconds"].as<double>());
    out.deadline = figreach::milliseconds{given["deadline-ms"].as<std::int64_t>()};
    const bool bounded = out.threads > 0 && out.connections > 0 && out.keys > 0 &&
                         out.hot_set_lifetime.count() > 0 && out.duration.count() > 0;
    if (!bounded) {
        throw std::invalid_argument{
            "--threads, --connections, --keys, --seconds and --hot-set-seconds must be "
            "greater than zero"};
    }
    if (!out.admin_addresses.empty() && out.admin_addresses.size() != out.hosts.size()) {
        throw std::invalid_argument{"--ready must be given once for each --host or not at all"};
    }
    for (const auto* list : {&out.hosts, &out.admin_addresses, &out.backends}) {
        for (const auto& address : *list) {
            if (!figreach::is_address(address)) {
                throw std::invalid_argument{"'" + address + "' is not an IP address with a port"};
            }
        }
    }
}

std::vector<load::request_record> run_workers(const load::load_settings& settings)
{
    std::vector<std::unique_ptr<load::load_worker>> workers;
    std::vector<std::thread> threads;
    threads.reserve(settings.threads);
    for (std::uint32_t i = 0; i < settings.threads; ++i) {
        workers.push_back(std::make_unique<load::load_worker>(settings, i));
    }
    for (const auto& one : workers) {
        threads.emplace_back([&one] { one->run(); });
    }
    for (auto& one : threads) {
        one.join();
    }
    std::vector<load::request_record> out;
    for (const auto& one : workers) {
        out.insert(out.end(), one->records().begin(), one->records().end());
    }
    return out;
}

load::load_report make_report(const load::load_settings& settings,
                              const std::vector<load::request_record>& records)
{
    load::load_report out;
    out.duration = settings.duration;
    out.streams = load::summarize(settings, records);
    std::vector<load::server_execution> executions;
    for (const auto& address : settings.backends) {
        const auto found = load::fetch_backend(address);
        out.servers_not_checked += found && found->complete ? 0 : 1;
        if (found) {
            executions.insert(executions.end(), found->executions.begin(), found->executions.end());
            out.server_counts.push_back(found->counts);
        }
    }
    out.promises = load::check_promises(records, std::move(executions));
    return out;
}

std::uint64_t count_lost_requests(const load::load_report& report)
{
    std::uint64_t lost = 0;
    for (const auto& one : report.streams) {
        lost += one.no_answer;
    }
    return lost;
}

int exit_code_for(const load::load_settings& settings, const load::load_report& report,
                  bool no_loss)
{
    const bool lost = no_loss && count_lost_requests(report) > 0;
    if (report.promises.broken() > 0 || lost) {
        return exit_broken_promise;
    }
    const bool records_incomplete =
        report.servers_not_checked > 0 || report.promises.answered_without_execution > 0;
    const bool checked = settings.backends.empty() || !records_incomplete;
    return report.promises.answered > 0 && checked ? exit_ok : exit_not_checked;
}

int run(const load::load_settings& settings, bool as_json, bool no_loss)
{
    const auto report = make_report(settings, run_workers(settings));
    std::cout << (as_json ? load::to_json(report) + "\n" : load::to_table(report));
    return exit_code_for(settings, report, no_loss);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        load::load_settings settings;
        const auto described = described_options(settings);
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        if (given.contains("help") || settings.hosts.empty() || !given.contains("stream")) {
            std::cout << described;
            return given.contains("help") ? exit_ok : exit_usage;
        }
        apply_parsed_options(settings, given);
        return run(settings, given.contains("json"), given.contains("no-loss"));
    }
    catch (const std::exception& error) {
        std::cerr << "figreach-load: " << error.what() << '\n';
        return exit_usage;
    }
}
