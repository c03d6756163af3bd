// Plays one case of the review: review-2 CASE FOLDER [--no-trouble]. The record goes to
// FOLDER/record.txt.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <string>

#include <boost/asio/co_spawn.hpp>

#include "world.hh"

namespace {

using review::world;

const std::map<std::string, review::scenario>& scenarios()
{
    static const std::map<std::string, review::scenario> all{
        {"attempts", review::play_attempts},
        {"plain-503", review::play_plain_503},
        {"stale-peer", review::play_stale_peer},
    };
    return all;
}

int play(const std::string& name, const std::string& folder, bool trouble)
{
    world all{folder, review::site_settings{}};
    int result = review::exit_not_run;
    boost::asio::co_spawn(all.io, scenarios().at(name)(all, trouble),
                          [&](const std::exception_ptr& failed, int code) {
                              result = failed ? review::exit_not_run : code;
                              all.io.stop();
                          });
    all.io.run();
    all.hosts.clear();
    all.log.line("exit code %d", result);
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(all.scratch);
    }
    else {
        all.log.line("logs in %s", all.scratch.c_str());
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argc > 1 ? argv[1] : "";
    if (argc < 3 || !scenarios().contains(name)) {
        std::fprintf(stderr, "review-2 CASE FOLDER [--no-trouble]\n");
        return review::exit_not_run;
    }
    const bool trouble = argc < 4 || std::string{argv[3]} != "--no-trouble";
    try {
        const int result = play(name, argv[2], trouble);
        // The processes have ended; what is left are coroutines of the stand-ins.
        std::_Exit(result);
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "review-2: %s\n", error.what());
        return review::exit_not_run;
    }
}
