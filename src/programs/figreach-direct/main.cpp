// An entry host that sends to owners directly: checks its settings whole, then serves until
// SIGTERM or SIGINT.

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <boost/program_options.hpp>
#include <google/protobuf/stubs/logging.h>

#include "../program_main.h"
#include "figreach/direct/runtime/direct_host.h"
#include "figreach/runtime/log.h"

namespace options = boost::program_options;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;
constexpr auto settings_variable = "FIGREACH_CONFIG";

struct command_line {
    std::string settings_file;
    bool check_only = false;
    bool help = false;
};

options::options_description described_options()
{
    options::options_description out{
        "figreach-direct [SETTINGS.toml]\n\n"
        "Without a file the one that the variable FIGREACH_CONFIG names is read.\n\nOptions"};
    auto add = out.add_options();
    add("help", "print this text");
    add("check", "check the settings and stop");
    add("settings", options::value<std::string>(), "settings file in TOML");
    return out;
}

command_line parse_command_line(int argc, char** argv)
{
    options::positional_options_description positions;
    positions.add("settings", 1);
    options::variables_map given;
    options::store(options::command_line_parser(argc, argv)
                       .options(described_options())
                       .positional(positions)
                       .run(),
                   given);
    command_line out;
    out.help = given.contains("help");
    out.check_only = given.contains("check");
    const char* named = std::getenv(settings_variable);
    if (given.contains("settings")) {
        out.settings_file = given["settings"].as<std::string>();
    }
    else if (named != nullptr) {
        out.settings_file = named;
    }
    return out;
}

int run(const command_line& given)
{
    std::ifstream in{given.settings_file};
    if (!in) {
        std::cerr << "figreach-direct: cannot read '" << given.settings_file << "'\n";
        return exit_bad_settings;
    }
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    // Until the host handles it, the signal to read the settings again would end the process.
    std::signal(SIGHUP, SIG_IGN);
    const auto parsed = figreach::direct::parse_direct_settings(text, given.settings_file);
    if (!parsed.faults.empty()) {
        std::cerr << figreach::to_text(parsed.faults);
        return exit_bad_settings;
    }
    if (given.check_only) {
        return exit_ok;
    }
    figreach::start_log(parsed.value.log_level, "");
    figreach::set_log_host(parsed.value.name);
    // Malformed items are logged where they are decoded; protobuf would write a line for each.
    google::protobuf::SetLogHandler(nullptr);
    figreach::direct::direct_host host{parsed.value, given.settings_file};
    figreach::log_event(figreach::log_level::info, "started",
                        {{"store", parsed.value.store_address}});
    host.run();
    figreach::stop_log();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return figreach::run_program("figreach-direct", exit_bad_settings, exit_failed, [&]() -> int {
        const auto given = parse_command_line(argc, argv);
        if (given.help || given.settings_file.empty()) {
            std::cout << described_options();
            return given.help ? exit_ok : exit_bad_settings;
        }
        return run(given);
    });
}
