#include "settings/program.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

namespace cicadahub::settings
{

int report_faults(const std::vector<settings_fault>& faults)
{
    for (const settings_fault& it : faults)
    {
        std::cerr << to_string(it) << "\n";
    }
    return faults.empty() ? exit_ok : exit_usage;
}

int run_program(const char* name, const std::function<int()>& body)
{
    try
    {
        return body();
    }
    catch (const TCLAP::ExitException& it)
    {
        return it.getExitStatus();
    }
    catch (const TCLAP::ArgException& it)
    {
        std::cerr << name << ": " << it.error() << " " << it.argId() << "\n";
        return exit_usage;
    }
    catch (const usage_error& it)
    {
        std::cerr << name << ": " << it.what() << "\n";
        return exit_usage;
    }
    catch (const malformed_document& it)
    {
        std::cerr << name << ": " << it.what() << "\n";
        return exit_usage;
    }
    catch (const std::exception& it)
    {
        std::cerr << name << ": " << it.what() << "\n";
        return exit_failure;
    }
}

} // namespace cicadahub::settings
