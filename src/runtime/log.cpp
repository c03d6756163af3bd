#include "figreach/runtime/log.h"

#include <boost/json.hpp>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace figreach {

namespace {

log4cxx::LoggerPtr process_logger()
{
    static const auto logger = log4cxx::Logger::getLogger("figreach");
    return logger;
}

log4cxx::LevelPtr to_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr make_appender(const std::string& file)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        R"({"time":"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}","level":"%p",%m}%n)");
    if (file.empty()) {
        return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                          log4cxx::ConsoleAppender::getSystemOut());
    }
    return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

/// Capacity of the queue to the writer thread. When it is full, lines are dropped.
constexpr int max_queued_lines = 4096;

log4cxx::AppenderPtr make_async_appender(const std::string& file)
{
    const auto out = std::make_shared<log4cxx::AsyncAppender>();
    out->setBufferSize(max_queued_lines);
    out->setBlocking(false);
    out->addAppender(make_appender(file));
    return out;
}

/// Name of this host as a JSON string; empty until it is set.
std::string& host_text()
{
    static std::string text;
    return text;
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string{text});
}

template <class Fields>
void write_line(log_level level, std::string_view event, const Fields& fields)
{
    const auto logger = process_logger();
    const auto at = to_level(level);
    if (!logger->isEnabledFor(at)) {
        return;
    }
    std::string line = host_text().empty() ? "" : "\"host\":" + host_text() + ",";
    line += "\"event\":" + quoted(event);
    for (const auto& [name, value] : fields) {
        line += "," + quoted(name) + ":" + quoted(value);
    }
    logger->log(at, line);
}

} // namespace

void start_log(std::string_view level, const std::string& file)
{
    const auto logger = process_logger();
    logger->removeAllAppenders();
    logger->setAdditivity(false);
    logger->addAppender(make_async_appender(file));
    set_log_level(level);
}

void set_log_level(std::string_view level)
{
    process_logger()->setLevel(log4cxx::Level::toLevel(std::string{level}));
}

void set_log_host(const host_id& host)
{
    host_text() = quoted(host.value);
}

void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    write_line(level, event, fields);
}

void log_info_event(std::string_view event,
                    const std::vector<std::pair<std::string, std::string>>& fields)
{
    write_line(log_level::info, event, fields);
}

void stop_log()
{
    log4cxx::LogManager::shutdown();
}

} // namespace figreach
