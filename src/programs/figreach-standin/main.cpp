// Runs a stand-in for the platform's store or for a backend server.

#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "../program_main.h"
#include "backend.h"
#include "store.h"

namespace options = boost::program_options;
namespace standin = figreach::standin;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

options::options_description described_options()
{
    options::options_description out{"figreach-standin store|backend [options]\n\nOptions"};
    auto add = out.add_options();
    add("help", "print this text");
    add("what", options::value<std::string>(), "store or backend");
    add("address", options::value<std::string>(), "IP address and port to listen on");
    add("name", options::value<std::string>()->default_value("backend"),
        "name of the backend server");
    add("control", options::value<std::string>(),
        "IP address and port on which the store is controlled: POST /fault, GET /counts, "
        "PUT /platform/hosts/NAME");
    add("slots", options::value<std::uint32_t>()->default_value(4),
        "number of requests that the backend server runs concurrently");
    add("service-time-ms", options::value<int>()->default_value(2),
        "execution time of one request in milliseconds");
    add("unfenced", "the backend server does not check fences");
    return out;
}

int run(const options::variables_map& given)
{
    boost::asio::io_context io;
    boost::asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    const auto address = given["address"].as<std::string>();
    if (given["what"].as<std::string>() == "store") {
        standin::store store{address};
        if (given.contains("control")) {
            const auto handle = [&store](const std::string& method, const std::string& target,
                                         const std::string& body) {
                return store.control(method, target, body);
            };
            standin::serve_control(io, given["control"].as<std::string>(), handle);
        }
        io.run();
        return exit_ok;
    }
    standin::run_backend(
        io, {.name = given["name"].as<std::string>(),
             .address = address,
             .checks_fences = !given.contains("unfenced"),
             .slots = given["slots"].as<std::uint32_t>(),
             .service_time = figreach::milliseconds{given["service-time-ms"].as<int>()}});
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return figreach::run_program("figreach-standin", exit_usage, exit_failed, [&]() -> int {
        options::positional_options_description positions;
        positions.add("what", 1);
        options::variables_map given;
        options::store(options::command_line_parser(argc, argv)
                           .options(described_options())
                           .positional(positions)
                           .run(),
                       given);
        if (given.contains("help") || !given.contains("what") || !given.contains("address")) {
            std::cout << described_options();
            return given.contains("help") ? exit_ok : exit_usage;
        }
        return run(given);
    });
}
