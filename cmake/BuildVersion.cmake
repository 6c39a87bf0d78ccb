# Tells which sources a program is built from: the commit, and a digest of the product's sources, which also holds where the
# sources have been changed since the commit or came without their history.
# usage: cmake -DSOURCE=FOLDER [-DOUTPUT=FILE.cpp] -P cmake/BuildVersion.cmake; without OUTPUT it prints the text.
get_filename_component(SOURCE "${SOURCE}" ABSOLUTE)
file(GLOB_RECURSE files LIST_DIRECTORIES false RELATIVE ${SOURCE}
    ${SOURCE}/modules/*.h ${SOURCE}/modules/*.cpp ${SOURCE}/platform/*.h ${SOURCE}/platform/*.cpp ${SOURCE}/apps/*.cpp
    ${SOURCE}/cmake/* ${SOURCE}/CMakeLists.txt)
list(SORT files)
set(digests "")
foreach(file ${files})
    file(SHA256 ${SOURCE}/${file} digest)
    string(APPEND digests "${digest}  ${file}\n")
endforeach()
string(SHA256 digest "${digests}")
string(SUBSTRING ${digest} 0 12 digest)

set(commit unknown)
find_program(GIT git)
if(GIT AND EXISTS ${SOURCE}/.git)
    execute_process(COMMAND ${GIT} -C ${SOURCE} rev-parse --short=12 HEAD OUTPUT_VARIABLE head OUTPUT_STRIP_TRAILING_WHITESPACE
        RESULT_VARIABLE failure ERROR_QUIET)
    if(failure EQUAL 0)
        set(commit ${head})
    endif()
endif()

set(text "commit ${commit}, sources ${digest}")
if(NOT OUTPUT)
    execute_process(COMMAND ${CMAKE_COMMAND} -E echo "${text}")
    return()
endif()
# The file is written only if its content changes, so that a build without changes links nothing.
file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#include "core/BuildVersion.h"

namespace auburndoor {

std::string_view buildVersion()
{
    return "@text@";
}

} // namespace auburndoor
]])
