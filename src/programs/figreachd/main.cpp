// Entry host daemon: validates all its settings, then serves until SIGTERM or SIGINT.

#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <google/protobuf/stubs/logging.h>

#include "../program_main.h"
#include "figreach/host_settings.h"
#include "figreach/rpc/entry_host.h"
#include "figreach/rpc/operator_server.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/settings_file.h"

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

struct command_line {
    std::string settings_file;
    bool check_only = false;
    bool help = false;
};

options::options_description described_options()
{
    options::options_description out{"figreachd SETTINGS.toml\n\nOptions"};
    auto add = out.add_options();
    add("help", "print this text");
    add("check", "check the settings and exit");
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
    if (given.contains("settings")) {
        out.settings_file = given["settings"].as<std::string>();
    }
    return out;
}

void wait_for_stop_signal()
{
    boost::asio::io_context io;
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([](const boost::system::error_code&, int) {});
    io.run();
}

figreach::operator_settings operator_settings_of(const figreach::host_settings& settings)
{
    return {.host = settings.name,
            .address = settings.operator_address,
            .store_address = settings.store_address,
            .token = settings.operator_token,
            .tls_certificate = settings.tls_certificate,
            .tls_key = settings.tls_key,
            .tls_client_ca = settings.tls_client_ca};
}

figreach::operator_hooks hooks_of(figreach::entry_host& host)
{
    return {.on_accepted =
                [&host](figreach::stored_value present) {
                    host.configuration_changed(std::move(present));
                },
            .present_load = {}};
}

int serve(const figreach::host_settings& settings)
{
    figreach::start_log(settings.log_level, settings.log_file);
    // Malformed messages are counted where they are decoded; without this, protobuf logs a line for
    // each.
    google::protobuf::SetLogHandler(nullptr);
    figreach::entry_host host{settings};
    const figreach::operator_server operators{operator_settings_of(settings), host.routing(),
                                              hooks_of(host)};
    figreach::log_event(figreach::log_level::info, "started", {});
    wait_for_stop_signal();
    figreach::log_event(figreach::log_level::info, "stopping", {});
    host.drain();
    return exit_ok;
}

int run(const command_line& given)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, figreach::load_host_settings(given.settings_file));
            return given.check_only ? exit_ok : serve(settings);
        },
        [](const figreach::settings_faults& wrong) {
            std::cerr << figreach::to_text(wrong.faults);
            return exit_bad_settings;
        },
        [](const leaf::error_info& unexpected) {
            std::cerr << "figreachd: " << unexpected << '\n';
            return exit_failed;
        });
}

} // namespace

int main(int argc, char** argv)
{
    return figreach::run_program("figreachd", exit_bad_settings, exit_failed, [&]() -> int {
        const auto given = parse_command_line(argc, argv);
        if (given.help || given.settings_file.empty()) {
            std::cout << described_options();
            return given.help ? exit_ok : exit_bad_settings;
        }
        return run(given);
    });
}
