#include "verb.h"

#include <array>
#include <cstdlib>

namespace figreachctl {

namespace options = boost::program_options;

namespace {

std::string user_name()
{
    const char* name = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): one thread
    return name == nullptr ? "" : name;
}

options::options_description no_options()
{
    return options::options_description{"Options of this verb: none"};
}

options::options_description change_options()
{
    options::options_description out{"Options of this verb"};
    auto add = out.add_options();
    add("reason", options::value<std::string>()->default_value(""),
        "reason for the change, stored in the history");
    add("by", options::value<std::string>()->default_value(user_name()),
        "your name, stored in the history");
    add("force", "accept a change that is flagged as dangerous");
    add("wait", "wait until the version is in force at every live entry host");
    add("wait-seconds", options::value<unsigned>()->default_value(30),
        "timeout of --wait in seconds");
    return out;
}

options::options_description apply_options()
{
    auto out = change_options();
    auto add = out.add_options();
    add("based-on", options::value<std::uint64_t>(),
        "version that the file is based on, 0 for the first description; default: the line "
        "'# version: N' at the top of the file, as written by get");
    add("dry-run", "check the change without applying it");
    return out;
}

options::options_description version_options()
{
    options::options_description out{"Options of this verb"};
    out.add_options()("version", options::value<std::uint64_t>()->default_value(0),
                      "version to use; 0: the one in force");
    return out;
}

constexpr auto verbs = std::to_array<verb>({
    {"apply", "FILE", "replace the description", 1, apply_options, run_apply},
    {"get", "", "print the description, to be edited and applied", 0, version_options, run_get},
    {"diff", "FILE", "what FILE would change", 1, version_options, run_diff},
    {"history", "", "who changed the description, when and why", 0, no_options, run_history},
    {"domain", "out|in NAME", "take a failure domain out or back in", 2, change_options,
     run_domain},
    {"server", "drain|undrain NAME", "take a backend server out or back in", 2, change_options,
     run_server},
    {"status", "", "recommended actions, entry hosts and backend servers", 0, no_options,
     run_status},
    {"explain", "SERVICE KEY", "where a key goes and why", 2, no_options, run_explain},
    {"watch", "", "print each change of version and hosts until interrupted", 0, no_options,
     run_watch},
});

} // namespace

std::span<const verb> all_verbs()
{
    return verbs;
}

} // namespace figreachctl
