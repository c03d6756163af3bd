// Injects seeded faults into running entry hosts and checks their promises to callers.

#include <cstdio>
#include <filesystem>
#include <iostream>
#include <string>

#include <boost/program_options.hpp>

#include "../src/programs/program_main.h"
#include "soak_run.h"

namespace options = boost::program_options;
using namespace figreach;
using namespace figreach::soak;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;
constexpr std::size_t max_shown = 5; ///< broken promises printed for each seed

struct command_line {
    soak_settings settings;
    std::uint64_t count = 1;
    bool expect_broken = false;
    bool help = false;
};

options::options_description described_options(soak_settings& out, command_line& line)
{
    options::options_description text{
        "figreach-soak --program figreach-direct [--seed N] [--count K]\n\n"
        "Exit code 0: no promise was broken; 1: one was; 2: wrong command line.\n\nOptions"};
    auto add = text.add_options();
    add("help", "print this text");
    add("program", options::value<std::filesystem::path>(&out.program),
        "path of the entry host program");
    add("folder", options::value<std::filesystem::path>(&out.folder)->default_value("soak-logs"),
        "folder for settings and logs, with a subfolder for each seed");
    add("seed", options::value<std::uint64_t>(&out.seed)->default_value(1), "the first seed");
    add("count", options::value<std::uint64_t>(&line.count)->default_value(1), "number of seeds");
    add("hosts", options::value<std::uint32_t>(&out.hosts)->default_value(out.hosts),
        "number of entry hosts");
    add("servers",
        options::value<std::uint32_t>(&out.keyed_servers)->default_value(out.keyed_servers),
        "number of backend servers divided by key");
    add("callers", options::value<std::uint32_t>(&out.callers)->default_value(out.callers),
        "number of concurrent callers");
    add("fault-seconds", options::value<std::int64_t>()->default_value(12),
        "period in which faults start");
    add("no-restores", options::bool_switch(&out.no_restores),
        "the store never comes back from a copy; the other faults of a seed stay the same");
    add("crashing-requests", options::value<std::uint32_t>(),
        "number of requests that crash servers; one in about half of the seeds if not given");
    add("ignore-fences", options::bool_switch(&out.servers_ignore_fences),
        "backend servers keep released keys, so that the checks must fail");
    add("expect-broken", options::bool_switch(&line.expect_broken),
        "exit code 0 only if a promise was broken");
    return text;
}

/// Returns whether no promise was broken.
bool play_seed(const soak_settings& settings)
{
    std::filesystem::create_directories(settings.folder);
    soak_run run{settings};
    const auto& checks = run.run();
    std::printf("seed %llu: %llu requests", static_cast<unsigned long long>(settings.seed),
                static_cast<unsigned long long>(checks.requests()));
    for (const auto& [status, count] : checks.results_by_status()) {
        std::printf(", %s %llu", status == 0 ? "no answer" : std::to_string(status).c_str(),
                    static_cast<unsigned long long>(count));
    }
    std::printf("; %zu broken\n", checks.broken().size());
    for (const auto& [identity, counts] : checks.crashing_requests()) {
        std::printf("  %s: %u servers crashed; %u arrivals later than %lld ms after the third, %u "
                    "of them from hosts in touch\n",
                    identity.c_str(), counts.crashes, counts.late_arrivals,
                    static_cast<long long>(stable_window.count()), counts.late_in_touch);
    }
    std::size_t shown = 0;
    for (const auto& one : checks.broken()) {
        if (shown++ < max_shown) {
            std::printf("  %s: %s\n", name_of(one.which), one.detail.c_str());
        }
    }
    if (!checks.broken().empty()) {
        std::string faults;
        for (const auto& [kind, count] : run.injected_faults()) {
            faults += std::string{" "} + name_of(kind) + "=" + std::to_string(count);
        }
        std::printf("  faults:%s\n  logs: %s\n", faults.c_str(), settings.folder.c_str());
    }
    std::fflush(stdout);
    return checks.broken().empty();
}

int run_all(const command_line& line)
{
    std::uint64_t broken = 0;
    for (std::uint64_t i = 0; i < line.count; ++i) {
        auto settings = line.settings;
        settings.seed += i;
        settings.folder /= "seed-" + std::to_string(settings.seed);
        broken += play_seed(settings) ? 0 : 1;
    }
    std::printf("%llu of %llu seeds with a broken promise\n",
                static_cast<unsigned long long>(broken),
                static_cast<unsigned long long>(line.count));
    return (broken > 0) == line.expect_broken ? exit_ok : exit_broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_program("figreach-soak", exit_usage, exit_broken, [&]() -> int {
        command_line line;
        const auto known = described_options(line.settings, line);
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        line.help = given.contains("help");
        if (line.help || line.settings.program.empty()) {
            std::cout << known;
            return line.help ? exit_ok : exit_usage;
        }
        line.settings.fault_time = seconds{given["fault-seconds"].as<std::int64_t>()};
        if (given.contains("crashing-requests")) {
            line.settings.crashing_requests = given["crashing-requests"].as<std::uint32_t>();
        }
        return run_all(line);
    });
}
