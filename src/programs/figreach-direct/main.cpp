// Runs an entry host that sends requests directly to key owners. Validates all settings, then
// serves until SIGTERM or SIGINT.

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

options::options_description make_options_description()
{
    options::options_description out{
        "figreach-direct [SETTINGS.toml]\n\n"
        "Without SETTINGS.toml, the file named by FIGREACH_CONFIG is used.\n\nOptions"};
    auto add = out.add_options();
    add("help", "show this help");
    add("check", "validate the settings and exit");
    add("settings", options::value<std::string>(), "settings file (TOML)");
    return out;
}

command_line parse_command_line(int argc, char** argv)
{
    options::positional_options_description positional;
    positional.add("settings", 1);
    options::variables_map arguments;
    options::store(options::command_line_parser(argc, argv)
                       .options(make_options_description())
                       .positional(positional)
                       .run(),
                   arguments);
    command_line out;
    out.help = arguments.contains("help");
    out.check_only = arguments.contains("check");
    const char* named = std::getenv(settings_variable);
    if (arguments.contains("settings")) {
        out.settings_file = arguments["settings"].as<std::string>();
    }
    else if (named != nullptr) {
        out.settings_file = named;
    }
    return out;
}

int run(const command_line& arguments)
{
    std::ifstream in{arguments.settings_file};
    if (!in) {
        std::cerr << "figreach-direct: cannot open settings file '" << arguments.settings_file
                  << "'\n";
        return exit_bad_settings;
    }
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    const auto parsed = figreach::direct::parse_direct_settings(text, arguments.settings_file);
    if (!parsed.faults.empty()) {
        std::cerr << figreach::to_text(parsed.faults);
        return exit_bad_settings;
    }
    if (arguments.check_only) {
        return exit_ok;
    }
    figreach::start_log(parsed.value.log_level, "");
    figreach::set_log_host(parsed.value.name);
    // Malformed items are logged where they are decoded; suppress protobuf's own message for each.
    google::protobuf::SetLogHandler(nullptr);
    figreach::direct::direct_host host{parsed.value, arguments.settings_file};
    figreach::log_event(figreach::log_level::info, "started",
                        {{"store", parsed.value.store_address}});
    host.run();
    figreach::stop_log();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    // SIGHUP would terminate the process until the host installs its handler.
    std::signal(SIGHUP, SIG_IGN);
    return figreach::run_program("figreach-direct", exit_bad_settings, exit_failed, [&]() -> int {
        const auto arguments = parse_command_line(argc, argv);
        if (arguments.help || arguments.settings_file.empty()) {
            std::cout << make_options_description();
            return arguments.help ? exit_ok : exit_bad_settings;
        }
        return run(arguments);
    });
}
