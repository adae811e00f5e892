#include "commands.hpp"
#include "explain.hpp"

#include "settings/program.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace
{

using namespace cicadahub;

std::string command_help()
{
    std::string text = "cicadactl, the command-line client for operators.";
    for (const ctl::command_row& it : ctl::command_rows())
    {
        text += "\n  " + std::string(it.name) + " " +
                std::string(it.arguments) + ": " + std::string(it.meaning);
    }
    text += "\n  explain REQUEST [LOG-FILE...]: events of one request from the "
            "daemons' logs; reads standard input if no file is given; needs "
            "no daemon.";
    return text;
}

int explain_request(const std::vector<std::string>& words)
{
    if (words.size() < 2)
    {
        throw ctl::usage_error("explain takes a request id");
    }
    std::stringstream lines;
    if (words.size() == 2)
    {
        lines << std::cin.rdbuf();
    }
    for (std::size_t n = 2; n < words.size(); ++n)
    {
        const std::ifstream file(words[n]);
        if (!file)
        {
            throw ctl::usage_error("cannot read " + words[n]);
        }
        lines << file.rdbuf() << "\n";
    }
    if (ctl::explain(lines, words[1], std::cout) == 0)
    {
        std::cerr << "no log line for request " << words[1] << "\n";
        return settings::exit_failure;
    }
    return settings::exit_ok;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine line(command_help(), ' ', CICADAHUB_VERSION);
    line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> daemon("d", "daemon",
                                        "Operator address of any daemon.",
                                        false, "", "ADDRESS:PORT");
    std::vector<std::string> outputs{"table", "json"};
    TCLAP::ValuesConstraint<std::string> is_output(outputs);
    TCLAP::ValueArg<std::string> output("o", "output", "Output format.", false,
                                        "table", &is_output);
    TCLAP::ValueArg<std::string> name("u", "operator",
                                      "Operator name for the audit trail.",
                                      false, "cicadactl", "NAME");
    TCLAP::SwitchArg wait("w", "wait",
                          "Wait until every daemon has applied the change.");
    TCLAP::UnlabeledMultiArg<std::string> words(
        "words", "Command and its arguments.", true, "WORD");
    line.add(daemon);
    line.add(output);
    line.add(name);
    line.add(wait);
    line.add(words);
    line.parse(argc, argv);
    if (words.getValue().front() == "explain")
    {
        return explain_request(words.getValue());
    }
    if (!daemon.isSet())
    {
        throw ctl::usage_error("this command requires --daemon");
    }
    ctl::operator_client client(http::parse_endpoint(daemon.getValue()),
                                name.getValue());
    ctl::command_options options;
    options.is_json = output.getValue() == "json";
    options.should_wait = wait.getValue();
    ctl::run_command(client, options, words.getValue());
    return settings::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cicadahub::settings::run_program("cicadactl",
                                            [&] { return run(argc, argv); });
}
