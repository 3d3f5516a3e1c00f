# One library per layer. Sources are globbed so that a new file needs no edit here.
find_package(Threads REQUIRED)
find_package(TBB REQUIRED)
find_package(fmt REQUIRED)
find_package(CLI11 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost 1.81 REQUIRED)

add_library(marigoldyard_options INTERFACE)
target_compile_options(marigoldyard_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
if(MARIGOLDYARD_WARNINGS_AS_ERRORS)
  target_compile_options(marigoldyard_options INTERFACE -Werror)
endif()
if(MARIGOLDYARD_SANITIZE)
  target_compile_options(marigoldyard_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=undefined)
  target_link_options(marigoldyard_options INTERFACE -fsanitize=address,undefined)
endif()

# Adds the library of one layer from src/<Name>. Interface libraries without sources get an empty source.
function(marigoldyard_layer Name)
  file(GLOB_RECURSE Sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${Name}/*.cpp)
  add_library(marigoldyard_${Name} STATIC ${Sources})
  add_library(marigoldyard::${Name} ALIAS marigoldyard_${Name})
  set_target_properties(marigoldyard_${Name} PROPERTIES EXPORT_NAME ${Name})
  target_include_directories(marigoldyard_${Name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
                                                         $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_compile_features(marigoldyard_${Name} PUBLIC cxx_std_20)
  target_link_libraries(marigoldyard_${Name} PRIVATE $<BUILD_INTERFACE:marigoldyard_options> ${ARGN})
endfunction()

marigoldyard_layer(state)
marigoldyard_layer(coordination)
target_link_libraries(marigoldyard_coordination PUBLIC marigoldyard_state PRIVATE xxhash)
marigoldyard_layer(protocol)
target_link_libraries(marigoldyard_protocol PUBLIC marigoldyard_coordination nlohmann_json::nlohmann_json
                                            PRIVATE OpenSSL::Crypto)
marigoldyard_layer(transport)
target_compile_definitions(marigoldyard_transport PUBLIC MARIGOLDYARD_VERSION="${PROJECT_VERSION}")
target_link_libraries(marigoldyard_transport PUBLIC marigoldyard_protocol fmt::fmt TBB::tbb nng Threads::Threads
                                                    OpenSSL::Crypto Boost::boost CLI11::CLI11)

# Adds the program built from all sources in a folder.
function(marigoldyard_program Name Folder)
  file(GLOB Sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${Folder}/*.cpp)
  add_executable(${Name} ${Sources})
  target_include_directories(${Name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${Name} PRIVATE marigoldyard_node marigoldyard_options)
endfunction()

# Adds a program that runs on the users' platform, placed at the root of the build folder.
function(marigoldyard_fleet_program Name Folder)
  file(GLOB Sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${Folder}/*.cpp)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE marigoldyard_fleet marigoldyard_options)
endfunction()
