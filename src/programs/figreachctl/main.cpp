// Command-line client for operators.

#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>

#include "exit_code.h"
#include "verb.h"

namespace options = boost::program_options;
using namespace figreachctl;

namespace {

/// Abbreviated options are rejected; otherwise a new option could change what an abbreviation in an
/// existing script means.
constexpr int option_style =
    options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;

options::options_description general_options()
{
    options::options_description out{"Options of every verb"};
    auto add = out.add_options();
    add("help", "print this text; with a verb: the help of that verb");
    add("host",
        options::value<std::vector<std::string>>()->composing()->default_value({"127.0.0.1:7400"},
                                                                               "127.0.0.1:7400"),
        "operator address of an entry host; may be repeated: tried in order");
    add("token-file", options::value<std::string>()->default_value(""),
        "file with the operators' token in its first line");
    add("tls-ca", options::value<std::string>()->default_value(""),
        "CA certificate of the entry hosts, PEM; enables TLS");
    add("tls-certificate", options::value<std::string>()->default_value(""),
        "client certificate, PEM");
    add("tls-key", options::value<std::string>()->default_value(""),
        "private key of the client certificate, PEM");
    add("tls-name", options::value<std::string>()->default_value(""),
        "name in the entry hosts' certificates, if it is not their IP address");
    add("json", "print JSON instead of text");
    return out;
}

/// The general options, and the remaining words: the verb with its arguments and options.
struct split_line {
    options::variables_map general;
    std::vector<std::string> rest;
};

split_line split(int argc, char** argv)
{
    options::options_description hidden;
    hidden.add_options()("word", options::value<std::vector<std::string>>());
    auto described = general_options();
    described.add(hidden);
    options::positional_options_description positions;
    positions.add("word", -1);
    const auto parsed = options::command_line_parser(argc, argv)
                            .options(described)
                            .positional(positions)
                            .style(option_style)
                            .allow_unregistered()
                            .run();
    split_line out;
    options::store(parsed, out.general);
    for (const auto& one : parsed.options) {
        const bool for_verb = one.unregistered || one.string_key == "word";
        if (for_verb) {
            out.rest.insert(out.rest.end(), one.original_tokens.begin(), one.original_tokens.end());
        }
    }
    return out;
}

void print_help()
{
    std::cout << "figreachctl [OPTIONS] VERB ...\n\nVerbs:\n";
    for (const auto& one : all_verbs()) {
        const auto synopsis = std::string{one.name} + " " + one.synopsis;
        constexpr std::size_t width = 28;
        std::cout << "  " << synopsis
                  << std::string(width - std::min(width - 1, synopsis.size()), ' ') << one.summary
                  << '\n';
    }
    std::cout
        << '\n'
        << general_options()
        << "\nExit codes: 0 done; 1 refused, invalid or not accepted; 2 invalid usage; 3 no entry "
           "host\nanswers; 4 not known whether a change took effect; 5 conflict; 6 dangerous; "
           "7 accepted,\nbut not yet in force everywhere. See docs/OPERATIONS.md.\n";
}

int print_help_of(const verb& one)
{
    std::cout << "figreachctl " << one.name << ' ' << one.synopsis << "\n  " << one.summary
              << "\n\n"
              << one.options() << '\n'
              << general_options();
    return exit_ok;
}

connection_options connection_options_from(const options::variables_map& general)
{
    return {.hosts = general["host"].as<std::vector<std::string>>(),
            .token_file = general["token-file"].as<std::string>(),
            .tls_ca = general["tls-ca"].as<std::string>(),
            .tls_certificate = general["tls-certificate"].as<std::string>(),
            .tls_key = general["tls-key"].as<std::string>(),
            .tls_name = general["tls-name"].as<std::string>()};
}

verb_call parse_call(const verb& one, const split_line& line)
{
    auto described = one.options();
    described.add_options()("argument", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("argument", -1);
    verb_call out{.target = connection_options_from(line.general),
                  .json = line.general.contains("json"),
                  .arguments = {},
                  .options = {}};
    const std::vector<std::string> words{line.rest.begin() + 1, line.rest.end()};
    options::store(options::command_line_parser(words)
                       .options(described)
                       .positional(positions)
                       .style(option_style)
                       .run(),
                   out.options);
    if (out.options.contains("argument")) {
        out.arguments = out.options["argument"].as<std::vector<std::string>>();
    }
    if (out.arguments.size() != one.arguments) {
        throw usage_error{std::string{"usage: figreachctl "} + one.name + " " + one.synopsis};
    }
    return out;
}

int run(int argc, char** argv)
{
    const auto line = split(argc, argv);
    const bool help = line.general.contains("help");
    if (line.rest.empty()) {
        print_help();
        return help ? exit_ok : exit_usage;
    }
    const auto verbs = all_verbs();
    const auto found =
        std::ranges::find_if(verbs, [&](const auto& one) { return one.name == line.rest.front(); });
    if (found == verbs.end()) {
        throw usage_error{"unknown verb '" + line.rest.front() + "'; see figreachctl --help"};
    }
    return help ? print_help_of(*found) : found->run(parse_call(*found, line));
}

int report_error(const std::exception& error, int code)
{
    std::cerr << "figreachctl: " << error.what() << '\n';
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const options::error& error) {
        return report_error(error, exit_usage);
    }
    catch (const usage_error& error) {
        return report_error(error, exit_usage);
    }
    catch (const unreadable_file& error) {
        return report_error(error, exit_usage);
    }
    catch (const std::exception& error) {
        return report_error(error, exit_unreachable);
    }
}
