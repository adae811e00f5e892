#include "core/event_log.hpp"
#include "daemon/daemon.hpp"
#include "settings/daemon_settings.hpp"
#include "settings/program.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

namespace
{

using namespace cicadahub;

using settings::exit_ok;
using settings::report_faults;

int print_settings()
{
    for (const settings::setting_row& it : settings::setting_rows())
    {
        std::cout << settings::to_markdown(it) << "\n";
    }
    return exit_ok;
}

int serve(const std::string& file)
{
    const settings::settings_result result = settings::read_settings(file);
    if (!result.faults.empty())
    {
        return report_faults(result.faults);
    }
    FLAGS_minloglevel = static_cast<int>(result.settings.log_level);
    try
    {
        daemon::entry_daemon daemon(result.settings);
        daemon.run();
        return exit_ok;
    }
    catch (const daemon::listen_error& reason)
    {
        CICADAHUB_EVENT(ERROR, listen_failed)
            << reason.setting() << " " << reason.what();
        const auto line = result.lines.find(reason.setting());
        return report_faults(
            {{file, line == result.lines.end() ? 0 : line->second,
              reason.setting(), reason.what()}});
    }
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line("cicadad, the entry daemon of cicadahub.", ' ',
                        CICADAHUB_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_file(
        "s", "settings", "Settings to serve with.", false, "", "FILE");
    TCLAP::ValueArg<std::string> checked_file(
        "c", "check-settings", "Settings to check, without serving.", false, "",
        "FILE");
    TCLAP::SwitchArg list_settings("", "list-settings",
                                   "Prints the table of the settings.");
    const std::vector<TCLAP::Arg*> modes{&settings_file, &checked_file,
                                         &list_settings};
    line.xorAdd(modes);
    line.parse(argc, argv);
    if (list_settings.isSet())
    {
        return print_settings();
    }
    if (checked_file.isSet())
    {
        return report_faults(
            settings::read_settings(checked_file.getValue()).faults);
    }
    return serve(settings_file.getValue());
}

} // namespace

int main(int argc, char** argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return cicadahub::settings::run_program("cicadad",
                                            [&] { return run(argc, argv); });
}
